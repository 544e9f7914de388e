// SPDX-License-Identifier: Apache-2.0
//
// The list of backends: watches discovery, reconnects, and turns names into ids.
#ifndef BADGERBRIDGE_PROXY_DISCOVERY_H_
#define BADGERBRIDGE_PROXY_DISCOVERY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/one_shot_timer.h"
#include "net/read_grace.h"
#include "proxy/config.h"
#include "proxy/json_values.h"

namespace badgerbridge::proxy {

struct Endpoint {
  std::string name;
  BackendEntry entry;
  boost::asio::ip::tcp::endpoint address;
};
struct EndpointList {
  bool snapshot = false;  // whole: what it does not name is gone
  std::vector<Endpoint> endpoints;
};

// An endpoint as a list has it, by names.
struct ListedEndpoint {
  std::string name, zone, kind;
  std::optional<boost::asio::ip::tcp::endpoint> address;  // none: only of one that is gone
  BackendState state = BackendState::kReady;
  int group = 0;
  double weight = 1;
  double since_ms = 0;  // when it last started, Unix time
};

// Reads lists in discovery's form; keeps the id of each name and the version of the list.
class EndpointListReader {
 public:
  explicit EndpointListReader(const Config& config) : zones_(config.zones), kinds_(config.kinds) {}
  EndpointListReader(EndpointListReader&&) = default;

  // Throws std::exception if it is no list; then nothing has changed.
  EndpointList Read(const boost::json::value& list);
  EndpointList Take(bool snapshot, std::uint64_t index, const std::vector<ListedEndpoint>& listed);
  std::uint64_t index() const { return index_; }
  void NoChangeUpTo(std::uint64_t index) { index_ = index; }
  void Restart() { index_ = 0; }  // ask for everything again
  std::size_t known() const { return ids_.size(); }
  std::string NameOf(BackendId id) const;  // empty: it has left the list

 private:
  BackendId IdOf(const std::string& name);
  void Forget(const EndpointList& list);

  std::vector<std::string> zones_, kinds_;
  std::unordered_map<BackendId, std::string> names_;
  std::unordered_map<std::string_view, BackendId> ids_;  // keyed by the names in names_
  std::uint64_t index_ = 0;
};

class Discovery {
 public:
  // Whatever goes wrong, a discovery that can be reached is heard again less than 6 s after its last word,
  // and one that comes back, less than 6 s after it has.
  struct Timing {
    // Where lists are pushed discovery is an agent on this machine, and each try is free: what it is told
    // while no watch is open counts as told at once, so it is tried several times a second. Where they are
    // asked for, calls wait for their turn at one service, and the module paces them.
    static Timing For(bool ask);

    std::chrono::milliseconds connect{400}, answer{400};  // for the connection; for the answer to begin
    std::chrono::milliseconds silence{2800};  // from one word to the next: a heartbeat comes every 2 s
    std::chrono::milliseconds first_backoff{50}, most_backoff{200};
  };
  using OnList = std::function<void(EndpointList)>;

  // `ask`: each call is the module's to decide; on_failed tells it when one has ended. Otherwise the watch is
  // kept up from here.
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, EndpointListReader reader,
            bool ask, std::uint64_t seed, OnList on_list, std::function<void()> on_failed, Timing timing);

  // Opens the watch, in place of one that is open. A call that waits for its answer goes on, since another
  // would only lose its turn, and so does a watch whose next word has come and is not read yet. Either ends
  // in time by itself.
  void Watch();

  // Goes on at another address, from the whole list: versions count for the discovery that gave them. What
  // the old one has written by now is read first.
  void MoveTo(boost::asio::ip::tcp::endpoint address);

  // Something of the open watch has come, and nobody has read it yet.
  bool HasUnread() const;

  const EndpointListReader& reader() const { return reader_; }
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }

 private:
  void Start();
  bool AwaitsRead();
  // Without memory for one of its steps a coroutine ends with no word. Each of its waits is shorter than this
  // one, which begins with each sign of it: so it is not left out for ever.
  void ExpectSign();
  void OnNoSign();
  boost::asio::awaitable<void> Run(std::uint64_t turn);
  boost::asio::awaitable<void> WatchOnce(std::uint64_t turn);
  // What has come; true if a whole word was in it, a list or a heartbeat.
  bool TakeWords(JsonValues* values, std::string_view bytes, std::uint64_t turn);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  EndpointListReader reader_;
  bool ask_;
  std::mt19937_64 random_;
  OnList on_list_;
  std::function<void()> on_failed_;
  Timing timing_;
  std::chrono::milliseconds backoff_;
  std::shared_ptr<boost::beast::tcp_stream> stream_;
  std::uint64_t turn_ = 0;  // of the newest Start(): an older one ends at its next step
  bool calling_ = false;    // its answer has not begun
  net::ReadGrace unread_;   // what waits on the open watch
  net::OneShotTimer move_, watchdog_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_DISCOVERY_H_
