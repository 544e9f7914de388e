// SPDX-License-Identifier: Apache-2.0

/// \file
/// A header field of HTTP (RFC 9110, section 5).
#ifndef BADGERBRIDGE_ETCD_HEADER_FIELD_H_
#define BADGERBRIDGE_ETCD_HEADER_FIELD_H_

#include <string>
#include <vector>

namespace badgerbridge::etcd {

/// One header field, as HTTP/2 sends it (RFC 9113, section 8.2).
struct HeaderField {
  std::string name;   ///< In lower case; pseudo-header fields begin with ':'.
  std::string value;  ///< Without leading or trailing white space.
};

/// The header fields of a request or response, in order. Also used for gRPC metadata.
using HeaderFields = std::vector<HeaderField>;

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HEADER_FIELD_H_
