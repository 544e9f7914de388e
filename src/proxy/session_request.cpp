// SPDX-License-Identifier: Apache-2.0
//
// A session's requests: what is checked of each before it goes to the table.
#include <algorithm>
#include <boost/url/parse.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMostId = 128;

bool Digits(beast::string_view text, std::size_t most) {
  return !text.empty() && text.size() <= most &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Where the end of a request may be read in two ways, another request may hide in its body. Beast 1.81 turns
// away some of these; it takes a transfer coding that it does not know as none, the same length twice, and
// the trailers of chunks as headers.
const char* FramingFault(const ClientRequest& request) {
  const auto lengths = request.count(http::field::content_length);
  const auto codings = request.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return "more than one Content-Length or Transfer-Encoding\n";
  if (lengths == 1 && !Digits(request[http::field::content_length], 19)) return "malformed Content-Length\n";
  if (codings == 1 &&
      (request.version() < 11 || !beast::iequals(request[http::field::transfer_encoding], "chunked")))
    return "Transfer-Encoding is not chunked\n";
  if (request.method() == http::verb::get && (lengths + codings > 0) &&
      (codings > 0 ||
       request[http::field::content_length].find_first_not_of('0') != beast::string_view::npos))
    return "GET with a body\n";
  for (const char* name : {"Host", "X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left-Ms",
                           "Idempotency-Key", "X-Weight-Hint", "X-Repeat"}) {
    if (request.count(name) > 1) return "a header twice\n";
  }
  return nullptr;
}

std::optional<double> Number(beast::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

// A number for what the request is about; 0: nothing. From the encoded parameters: Boost.URL decodes the
// others within functions that may not throw, and ends the process where memory is short.
std::uint64_t KeyOf(const boost::urls::url_view& url) {
  const auto params = url.encoded_params();
  const auto found = params.find("obj");
  if (found == params.end() || !(*found).has_value) return 0;
  std::string value;
  (*found).value.decode({}, boost::urls::string_token::assign_to(value));
  if (value.empty()) return 0;
  return std::max<std::uint64_t>(1, std::hash<std::string>()(value));
}

}  // namespace

// Only what is checked here goes on: a backend closes on what it can't read, whatever else it is doing.
std::optional<Listener::Session::Fault> Listener::Session::Serve(ClientRequest& request, TimePoint began) {
  if (const char* text = FramingFault(request)) return Fault{400, text};
  if (request.target() == "/ready") return ServeReady(request);
  Checked checked;
  if (const auto fault = CheckTarget(request, &checked)) return fault;
  if (const auto fault = CheckFields(request, &checked)) return fault;
  checked.submit.due = std::min(began + Duration(checked.left), listener_.LastAnswer());
  checked.submit.client_retry = request["X-Repeat"] == "1";
  checked.submit.key = KeyOf(checked.url);
  // Last, so that only what is taken is remembered.
  if (!listener_.NoteId(request["X-Correlation-Id"]))
    return Fault{409, "this X-Correlation-Id is in use, or was a moment ago\n"};
  Take(request, checked);
  return std::nullopt;
}

std::optional<Listener::Session::Fault> Listener::Session::ServeReady(const ClientRequest& request) {
  if (request.method() != http::verb::get) return Fault{405, ""};
  const bool ready = !listener_.stopping_ && !listener_.draining_ && listener_.proxy_.CanServe();
  Write({ready ? 200u : 503u, ready ? "ready\n" : "not ready\n", "text/plain", Duration(0)});
  return std::nullopt;
}

// Its class and its tenant, and that the path begins with the class.
std::optional<Listener::Session::Fault> Listener::Session::CheckTarget(const ClientRequest& request,
                                                                       Checked* checked) const {
  const auto url = boost::urls::parse_origin_form({request.target().data(), request.target().size()});
  if (!url) return Fault{400, "malformed target\n"};
  const auto cls = listener_.classes_.find(std::string(request["X-Service-Class"]));
  if (cls == listener_.classes_.end()) return Fault{400, "X-Service-Class names no known class\n"};
  const auto segments = url->encoded_segments();
  if (segments.empty() || std::string_view(segments.front()) != cls->first)
    return Fault{400, "the path does not begin with the class\n"};
  checked->url = *url;
  checked->service_class = cls->first;
  checked->submit.request_class = cls->second;
  if (!listener_.tenants_.empty()) {
    const auto tenant = listener_.tenants_.find(std::string(request["X-Account"]));
    if (tenant == listener_.tenants_.end()) return Fault{400, "X-Account names no known tenant\n"};
    checked->submit.tenant = tenant->second;
  }
  return std::nullopt;
}

// Its method and its headers.
std::optional<Listener::Session::Fault> Listener::Session::CheckFields(const ClientRequest& request,
                                                                       Checked* checked) const {
  const ClassSettings& settings =
      listener_.class_settings_[static_cast<std::size_t>(checked->submit.request_class)];
  const bool safe = settings.effect == Idempotency::kIdempotent;
  if (request.method() != (safe ? http::verb::get : http::verb::post))
    return Fault{405, "this class does not take this method\n"};
  // Without its key a repeat would not be dropped, and the module counts on that.
  const auto key = request["Idempotency-Key"];
  if ((settings.effect == Idempotency::kIdempotencyKey) == key.empty() || key.size() > kMostId)
    return Fault{400, "Idempotency-Key does not fit the class\n"};
  checked->left = settings.deadline.count();
  if (request.count("X-Time-Left-Ms")) {
    if (!Digits(request["X-Time-Left-Ms"], 9)) return Fault{400, "X-Time-Left-Ms is no whole number\n"};
    checked->left = std::min(checked->left, Number(request["X-Time-Left-Ms"]).value_or(checked->left));
  }
  if (request.count("X-Weight-Hint")) {
    const auto hint = Number(request["X-Weight-Hint"]);
    if (!hint) return Fault{400, "X-Weight-Hint is not a number\n"};
    checked->submit.has_hint = true;
    checked->submit.work_ms = *hint / 1000;
  }
  const auto id = request["X-Correlation-Id"];
  if (id.empty() || id.size() > kMostId || !std::all_of(id.begin(), id.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_' || c == '.';
      }))
    return Fault{400, "X-Correlation-Id is absent or malformed\n"};
  return std::nullopt;
}

// Into the table of requests.
void Listener::Session::Take(ClientRequest& request, const Checked& checked) {
  auto forwarded = std::make_shared<Forwarded>();
  forwarded->method = request.method();
  forwarded->target = std::string(request.target());
  forwarded->body = std::move(request.body());
  forwarded->correlation_id = std::string(request["X-Correlation-Id"]);
  forwarded->idempotency_key = std::string(request["Idempotency-Key"]);
  forwarded->service_class = checked.service_class;
  if (!listener_.tenants_.empty()) forwarded->account = std::string(request["X-Account"]);

  listener_.last_busy_ = listener_.clock_.Now();
  state_ = State::kServing;
  const RequestId number = listener_.proxy_.Accept(checked.submit, std::move(forwarded), shared_from_this());
  if (state_ == State::kServing) request_ = number;  // else it has been answered
}

}  // namespace badgerbridge::proxy
