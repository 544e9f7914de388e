// SPDX-License-Identifier: Apache-2.0
//
// A process of a trial: started, told, signalled, and surely gone at its end, or at this one's.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_CHILD_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_CHILD_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace badgerbridge::multiprocess {

class Child {
 public:
  using OnLine = std::function<void(const boost::json::object&)>;

  // With `on_line`, its standard input and output are JSON lines; its standard error, or without `on_line`
  // all that it says, is appended to `log`. Throws std::runtime_error if it can't be started.
  Child(boost::asio::io_context& io, std::string name, std::vector<std::string> words,
        std::vector<std::string> environment, const std::string& log, OnLine on_line = nullptr);
  ~Child();  // ends it by SIGKILL if it still runs
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Tell(const boost::json::object& order);
  void Signal(int number) const;
  // Of one that SIGSTOP has stopped: it was not waiting for events then. False also if the system does not
  // tell.
  bool StoppedAtWork() const;
  // ms for which its first thread has waited for a processor since its start; 0 also if the system does not
  // tell.
  double WaitedForProcessor() const;
  bool Running();  // false once it has ended, however
  int status() const { return status_; }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }

 private:
  void Read();

  std::string name_;
  pid_t pid_ = -1;
  int status_ = 0;
  bool running_ = true;
  OnLine on_line_;
  boost::asio::posix::stream_descriptor in_, out_;
  boost::asio::streambuf buffer_{64 << 20};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_CHILD_H_
