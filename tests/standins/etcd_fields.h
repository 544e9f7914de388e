// SPDX-License-Identifier: Apache-2.0
//
// Which fields of etcd's API the stand-in knows, by call. protobuf's lite messages keep unknown fields and
// don't tell; a stand-in that ignored one would prove nothing.
#ifndef BADGERBRIDGE_TESTS_STANDINS_ETCD_FIELDS_H_
#define BADGERBRIDGE_TESTS_STANDINS_ETCD_FIELDS_H_

#include <google/protobuf/io/coded_stream.h>

#include <map>
#include <string_view>

namespace badgerbridge::standins {

struct Fields {
  std::map<int, const Fields*> known;  // by number; of a message field, that message's
};

// Whether the message (protobuf's wire format) has no field but those.
inline bool OnlyKnown(std::string_view message, const Fields& fields) {
  google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(message.data()),
                                            static_cast<int>(message.size()));
  while (const std::uint32_t tag = in.ReadTag()) {
    const auto known = fields.known.find(static_cast<int>(tag >> 3));
    if (known == fields.known.end()) return false;
    std::uint64_t ignored = 0;
    std::uint32_t size = 0;
    switch (tag & 7) {
      case 0:
        if (!in.ReadVarint64(&ignored)) return false;
        break;
      case 2: {
        std::string part;
        if (!in.ReadVarint32(&size) || !in.ReadString(&part, static_cast<int>(size))) return false;
        if (known->second && !OnlyKnown(part, *known->second)) return false;
        break;
      }
      default:
        return false;  // the API has no other kinds
    }
  }
  return in.ConsumedEntireMessage();
}

// The fields of a call's request; null: no such call.
inline const Fields* FieldsOf(std::string_view path) {
  static const Fields none{};
  static const Fields range{{{1, 0},
                             {2, 0},
                             {3, 0},
                             {4, 0},
                             {5, 0},
                             {6, 0},
                             {7, 0},
                             {8, 0},
                             {9, 0},
                             {10, 0},
                             {11, 0},
                             {12, 0},
                             {13, 0}}};
  static const Fields put{{{1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}, {6, 0}}};
  static const Fields remove{{{1, 0}, {2, 0}, {3, 0}}};
  static const Fields compare{{{1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}, {6, 0}, {7, 0}, {8, 0}, {64, 0}}};
  static Fields txn, op;
  if (txn.known.empty()) {
    op.known = {{1, &range}, {2, &put}, {3, &remove}, {4, &txn}};
    txn.known = {{1, &compare}, {2, &op}, {3, &op}};
  }
  static const Fields create{{{1, 0}, {2, 0}, {3, 0}, {4, 0}, {5, 0}, {6, 0}, {7, 0}, {8, 0}}};
  static const Fields one{{{1, 0}}}, two{{{1, 0}, {2, 0}}};
  static const Fields watch{{{1, &create}, {2, &one}, {3, &none}}};
  static const std::map<std::string_view, const Fields*> calls = {
      {"/etcdserverpb.KV/Range", &range},           {"/etcdserverpb.KV/Put", &put},
      {"/etcdserverpb.KV/DeleteRange", &remove},    {"/etcdserverpb.KV/Txn", &txn},
      {"/etcdserverpb.KV/Compact", &two},           {"/etcdserverpb.Watch/Watch", &watch},
      {"/etcdserverpb.Lease/LeaseGrant", &two},     {"/etcdserverpb.Lease/LeaseRevoke", &one},
      {"/etcdserverpb.Lease/LeaseKeepAlive", &one}, {"/etcdserverpb.Lease/LeaseTimeToLive", &two},
      {"/etcdserverpb.Lease/LeaseLeases", &none},   {"/etcdserverpb.Maintenance/Status", &none},
      {"/etcdserverpb.Cluster/MemberList", &one},   {"/etcdserverpb.Auth/Authenticate", &two},
  };
  const auto found = calls.find(path);
  return found == calls.end() ? nullptr : found->second;
}

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_ETCD_FIELDS_H_
