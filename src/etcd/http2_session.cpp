// SPDX-License-Identifier: Apache-2.0
#include "etcd/http2_session.h"

#include <new>

namespace badgerbridge::etcd {
namespace {

nghttp2_nv MakeNameValue(const HeaderField& field) {
  // nghttp2 requires pointers to non-const but does not write through them.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value.data())), field.name.size(),
          field.value.size(), NGHTTP2_NV_FLAG_NONE};
}

ConnectionError MakeError(ssize_t nghttp2_error) {
  return {ConnectionErrorCode::kHttp2, nghttp2_strerror(static_cast<int>(nghttp2_error))};
}

}  // namespace

void Http2SessionDeleter::operator()(nghttp2_session* session) const { nghttp2_session_del(session); }

Http2CallbacksPtr NewHttp2Callbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) throw std::bad_alloc();
  return Http2CallbacksPtr(callbacks);
}

Http2SessionPtr NewHttp2ClientSession(const nghttp2_session_callbacks& callbacks, void* user_data) {
  nghttp2_session* session = nullptr;
  if (nghttp2_session_client_new(&session, &callbacks, user_data) != 0) throw std::bad_alloc();
  return Http2SessionPtr(session);
}

Http2SessionPtr NewHttp2ServerSession(const nghttp2_session_callbacks& callbacks, void* user_data) {
  nghttp2_session* session = nullptr;
  if (nghttp2_session_server_new(&session, &callbacks, user_data) != 0) throw std::bad_alloc();
  return Http2SessionPtr(session);
}

std::optional<ConnectionError> ReceiveBytes(nghttp2_session& session, std::string_view bytes) {
  const ssize_t consumed =
      nghttp2_session_mem_recv(&session, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (consumed < 0) return MakeError(consumed);
  return std::nullopt;
}

Http2Output TakeBytes(nghttp2_session& session, std::size_t min_bytes) {
  Http2Output output;
  while (output.bytes.size() < min_bytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(&session, &data);
    if (size < 0) output.error = MakeError(size);
    if (size <= 0) break;
    output.bytes.append(MakeStringView(data, static_cast<std::size_t>(size)));
  }
  return output;
}

std::vector<nghttp2_nv> MakeNameValues(const HeaderFields& fields) {
  std::vector<nghttp2_nv> name_values;
  name_values.reserve(fields.size());
  for (const HeaderField& field : fields) name_values.push_back(MakeNameValue(field));
  return name_values;
}

}  // namespace badgerbridge::etcd
