// SPDX-License-Identifier: Apache-2.0
//
/// A small installation of real processes on loopback, and the form of what it answers: an agent with two
/// proxies, a stand-in etcd, backends, discovery.
///
/// Answers hold times, numbers of processes and the like, so a golden file keeps their form: the path and
/// type of each field, and the values of those fields that have one word from a fixed set.
#ifndef BADGERBRIDGE_TESTS_COMPATIBILITY_INSTALLATION_H_
#define BADGERBRIDGE_TESTS_COMPATIBILITY_INSTALLATION_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_api/client.h"
#include "standins/etcd.h"
#include "standins/site.h"

namespace badgerbridge::compatibility {

/// The structure of an answer, with the values of fields that hold fixed words ("state", "result" and the
/// like).
std::string FormOf(const boost::json::value& answer);

/// Whether `form`, as FormOf gives it, has a line that begins with `field`, as in "drain.left_ms:".
bool HasField(const std::string& form, const std::string& field);

class Installation {
 public:
  Installation();

  /// Starts the agent; returns once both proxies are ready and have a decision of zone failover in common.
  void Start();

  /// One call of the control API of proxy n1 or n2.
  http_api::Reply CallProxy(const std::string& proxy, const std::string& method, const std::string& path,
                            const std::string& body = "");
  /// "METHOD PATH: STATUS", then the form of the answer; repeated for up to 30 s until the form has `field`.
  std::string ProxyAnswer(const std::string& proxy, const std::string& method, const std::string& path,
                          const std::string& body = "", const std::string& field = "");
  /// The same of the agent's API.
  std::string AgentAnswer(const std::string& method, const std::string& path, const std::string& body = "",
                          const std::string& field = "");

  /// The command line, its exit code, and the form of what `-o json` prints; repeated until the form has
  /// `field` and, where one is given, the exit code is `exit_code`.
  std::string CommandAnswer(std::vector<std::string> arguments, const std::string& field = "",
                            std::optional<int> exit_code = std::nullopt);

  /// Writes a backend's key, as its registration does.
  void RegisterBackend(int number, double since_ms = 0);

  boost::asio::io_context& io() { return io_; }
  standins::Site& site() { return *site_; }
  standins::Etcd& etcd() { return *etcd_; }
  /// address:port of the stand-in etcd.
  const std::string& etcd_address() const { return etcd_address_; }
  /// The path of a file in the installation's directory.
  std::string Path(const std::string& file) const { return site_->folder() + "/" + file; }

 private:
  bool ProxyTakesPart(const std::string& proxy);
  /// Whether what the agent last saw of each proxy is from after the proxy was told its list.
  bool AgentHasSeenLists();

  boost::asio::io_context io_{1};
  std::unique_ptr<standins::Site> site_;
  std::unique_ptr<standins::Etcd> etcd_;
  std::string etcd_address_;
};

}  // namespace badgerbridge::compatibility

#endif  // BADGERBRIDGE_TESTS_COMPATIBILITY_INSTALLATION_H_
