// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/role_process.h"

#include <utility>

namespace badgerbridge::multiprocess {

namespace {

template <typename Record>
void Append(std::vector<Record>& all, const std::vector<Record>& more) {
  all.insert(all.end(), more.begin(), more.end());
}

// Appends records with the name of the process that they are of.
template <typename Record>
void AppendOf(const std::string& process, std::string Record::*process_of, std::vector<Record>& all,
              const std::vector<Record>& more) {
  for (Record record : more) {
    record.*process_of = process;
    all.push_back(std::move(record));
  }
}

}  // namespace

RoleProcess::RoleProcess(RunContext& context, const std::string& role, std::string name)
    : context_(context), name_(std::move(name)) {
  On<Ready>([this](const Ready& ready) {
    is_ready_ = true;
    addresses_ = ready.addresses;
  });
  On<Records>([this](const Records& records) { AddRecords(records); });
  On<Ended>([this](const Ended& ended) { AddEnded(ended); });
  On<RoleError>(
      [this](const RoleError& error) { context_.AddFault(ProcessFaultKind::kRoleError, name_, error.text); });
  process_ = StartProcess(context_, name_, {context_.programs.self, "role", role}, {},
                          [this](const std::string& line) { dispatcher_.Dispatch(line); });
}

void RoleProcess::AddRecords(const Records& records) {
  History& history = context_.history;
  AppendOf(name_, &RequestRecord::client_process, history.requests, records.requests);
  Append(history.close_races, records.close_races);
  AppendOf(name_, &AttemptRecord::backend_process, history.attempts, records.attempts);
  Append(history.notifications, records.notifications);
  AppendOf(name_, &EventLoopLag::process, history.lags, records.lags);
}

void RoleProcess::AddEnded(const Ended& ended) {
  context_.history.requests_started += ended.requests_started;
  if (ended.malformed_requests > 0) context_.AddFault(ProcessFaultKind::kMalformedRequest, name_);
  has_reported_ = true;
}

}  // namespace badgerbridge::multiprocess
