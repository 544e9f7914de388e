// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Adds JSON that is stored or sent, without the messages for people that it holds.
#ifndef BADGERBRIDGE_TESTS_FINGERPRINT_JSON_DIGEST_H_
#define BADGERBRIDGE_TESTS_FINGERPRINT_JSON_DIGEST_H_

#include <algorithm>
#include <boost/json.hpp>
#include <initializer_list>
#include <string_view>

#include "fingerprint/digest.h"

namespace badgerbridge::fingerprint {

/// Adds keys and values in their order. Of a field named in `messages`, wherever it is, only whether it says
/// anything: its text may change.
inline void AddJson(const boost::json::value& value, std::initializer_list<std::string_view> messages,
                    Digest* digest) {
  if (const auto* object = value.if_object()) {
    digest->Add(object->size());
    for (const auto& field : *object) {
      const std::string_view key(field.key().data(), field.key().size());
      digest->Add(key);
      if (std::find(messages.begin(), messages.end(), key) != messages.end()) {
        digest->Add(!field.value().as_string().empty());
      } else {
        AddJson(field.value(), messages, digest);
      }
    }
  } else if (const auto* array = value.if_array()) {
    digest->Add(array->size());
    for (const boost::json::value& element : *array) AddJson(element, messages, digest);
  } else {
    digest->Add(boost::json::serialize(value));
  }
}

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_JSON_DIGEST_H_
