// SPDX-License-Identifier: Apache-2.0
#include "cli/order_submission.h"

#include <algorithm>
#include <cstdio>
#include <ostream>
#include <random>
#include <thread>
#include <utility>

#include "cli/json_fields.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kRetryInterval{200};
constexpr milliseconds kLongPoll{1000};
constexpr milliseconds kTimeBeyondDeadlines{10000};
constexpr unsigned kMaxRounds = 64;  // of an order that takes a few instances at a time
constexpr char kClearLine[] = "\r\x1b[K";

/// How many instances are through with an order.
struct Progress {
  std::size_t done = 0;
  std::size_t all = 0;
};

Progress ProgressOf(const std::vector<SubmittedOrder>& orders) {
  Progress progress;
  for (const SubmittedOrder& order : orders) {
    for (const json::value& part : ArrayField(order.state, "instances")) {
      const std::string result = part.is_object() ? StringField(part.get_object(), "result") : "";
      ++progress.all;
      if (result != "running" && result != "waiting") ++progress.done;
    }
  }
  return progress;
}

}  // namespace

std::string OrderIdOf(const OrderOptions& options) {
  if (!options.id.empty()) return options.id;
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

OrderSubmission::OrderSubmission(AgentSession& session, const OrderOptions& options, std::string path,
                                 std::vector<SubmittedOrder> orders)
    : session_(session), options_(options), path_(std::move(path)), orders_(std::move(orders)) {
  const unsigned rounds = options.at_most > 0 ? kMaxRounds : 1;
  due_ = Clock::now() + session.TimeoutOr(options.deadline * rounds + kTimeBeyondDeadlines);
}

const std::vector<SubmittedOrder>& OrderSubmission::Run() {
  CompleteRequests();
  SubmitAll();
  while (!options_.no_wait && TimeLeft() > milliseconds(0)) {
    const std::vector<SubmittedOrder*> open = OpenOrders();
    if (open.empty()) break;
    PollOnce(open);
    if (session_.output().show_progress) ShowProgress();
  }
  if (session_.output().show_progress) session_.err() << kClearLine << std::flush;
  return orders_;
}

milliseconds OrderSubmission::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(due_ - Clock::now());
}

void OrderSubmission::CompleteRequests() {
  for (SubmittedOrder& order : orders_) {
    order.request["deadline_ms"] = options_.deadline.count();
    order.request["supersede"] = options_.supersede;
    if (options_.force_after) order.request["force_after_ms"] = options_.force_after->count();
    if (!options_.as.empty()) order.request["as"] = options_.as;
    if (options_.dry_run) order.request["dry_run"] = true;
  }
}

AgentCall OrderSubmission::SubmissionOf(const SubmittedOrder& order) const {
  const milliseconds timeout = std::min(kDefaultCallTimeout, std::max(TimeLeft(), milliseconds(1)));
  return {order.agent.target, "POST", path_, json::serialize(order.request), timeout};
}

void OrderSubmission::SubmitAll() {
  std::vector<AgentCall> calls;
  for (const SubmittedOrder& order : orders_) calls.push_back(SubmissionOf(order));
  std::vector<http_api::Reply> replies = session_.CallAll(std::move(calls));
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    RetryUntilAnswered(orders_[i], replies[i]);
    OnSubmissionReply(orders_[i], replies[i]);
  }
}

void OrderSubmission::RetryUntilAnswered(const SubmittedOrder& order, http_api::Reply& reply) {
  while (reply.status == 0 && TimeLeft() > kRetryInterval) {
    std::this_thread::sleep_for(kRetryInterval);
    reply = session_.Call(SubmissionOf(order));
    if (reply.status == 0 && Clock::now() + kDefaultCallTimeout > due_) break;
  }
}

void OrderSubmission::OnSubmissionReply(SubmittedOrder& order, const http_api::Reply& reply) {
  if (const json::object* state = BodyOf(reply)) {
    order.accepted = true;
    order.state = *state;
    order.ended = options_.dry_run || BoolField(order.state, "ended") || !order.state.contains("id");
  } else {
    order.code = session_.ReportFailedReply(order.agent.name, reply);
    order.error = reply.ErrorMessage();
    order.ended = true;
  }
}

std::vector<SubmittedOrder*> OrderSubmission::OpenOrders() {
  std::vector<SubmittedOrder*> open;
  for (SubmittedOrder& order : orders_) {
    if (!order.ended) open.push_back(&order);
  }
  return open;
}

void OrderSubmission::PollOnce(const std::vector<SubmittedOrder*>& open) {
  std::vector<AgentCall> calls;
  for (const SubmittedOrder* order : open) {
    const milliseconds wait = std::max(milliseconds(1), std::min(kLongPoll, TimeLeft()));
    const std::string path = "/v1/orders/" + order->id + "?wait_ms=" + std::to_string(wait.count());
    calls.push_back({order->agent.target, "GET", path, "", wait + kDefaultCallTimeout});
  }
  const std::vector<http_api::Reply> replies = session_.CallAll(std::move(calls));
  for (std::size_t i = 0; i < open.size(); ++i) OnPollReply(*open[i], replies[i]);
  const bool any_unreachable =
      std::any_of(open.begin(), open.end(), [](const SubmittedOrder* order) { return order->unreachable; });
  if (any_unreachable) std::this_thread::sleep_for(kRetryInterval);
}

void OrderSubmission::OnPollReply(SubmittedOrder& order, const http_api::Reply& reply) {
  order.unreachable = reply.status == 0;
  if (const json::object* state = BodyOf(reply)) {
    order.state = *state;
    order.ended = BoolField(order.state, "ended");
  } else if (!order.unreachable) {
    order.code = session_.ReportFailedReply(order.agent.name, reply);
    order.ended = true;
  }
}

void OrderSubmission::ShowProgress() {
  const Progress progress = ProgressOf(orders_);
  session_.err() << kClearLine << progress.done << " of " << progress.all << " instances" << std::flush;
}

}  // namespace badgerbridge::cli
