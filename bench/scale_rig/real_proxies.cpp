// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/real_proxies.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <stdexcept>

#include "http_api/client.h"
#include "measure.h"

namespace badgerbridge::scale {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStatusTimeout{3000};

standins::SiteSettings SettingsOf(std::size_t count) {
  standins::SiteSettings settings;
  settings.proxies = static_cast<int>(count);
  settings.backends = 2;  // that discovery knows, and etcd does not
  return settings;
}

}  // namespace

RealProxies::RealProxies(std::size_t count, const std::vector<std::string>& endpoints,
                         const std::string& prefix)
    : count_(count), site_(io_, SettingsOf(count)) {
  std::string list;
  for (const std::string& one : endpoints) list += (list.empty() ? "\"" : ", \"") + one + "\"";
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = site_.Name(static_cast<int>(i));
    site_.Write(name + ".toml", "[control]\nsocket = \"" + site_.folder() + "/" + name +
                                    ".sock\"\n[etcd]\nendpoints = [" + list + "]\nprefix = \"" + prefix +
                                    "\"\n");
  }
  site_.StartAgent();
}

bool RealProxies::AwaitList(std::uint64_t revision, std::size_t backends, milliseconds timeout) {
  const auto has_list = [&](const std::string& name) {
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    boost::asio::co_spawn(
        io_,
        http_api::CallUnix(site_.folder() + "/" + name + ".sock", "GET", "/v1/status", "", kStatusTimeout),
        [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    while (!*reply) {
      io_.restart();
      io_.run_one_for(milliseconds(50));
    }
    if (!(*reply)->ok()) return false;
    const boost::json::value& list = (*reply)->body.at("list");
    return list.at("revision").to_number<std::uint64_t>() >= revision &&
           list.at("converters").to_number<std::size_t>() == backends;
  };
  return site_.Until(
      [&] {
        for (std::size_t i = 0; i < count_; ++i) {
          if (!has_list(site_.Name(static_cast<int>(i)))) return false;
        }
        return true;
      },
      timeout);
}

double RealProxies::cpu_ms() {
  double sum = 0;
  for (std::size_t i = 0; i < count_; ++i) sum += bench::CpuMs(site_.PidOf(site_.Name(static_cast<int>(i))));
  return sum;
}

std::vector<double> RealProxies::memory_mb() {
  std::vector<double> all;
  for (std::size_t i = 0; i < count_; ++i)
    all.push_back(bench::ResidentMb(site_.PidOf(site_.Name(static_cast<int>(i)))));
  return all;
}

}  // namespace badgerbridge::scale
