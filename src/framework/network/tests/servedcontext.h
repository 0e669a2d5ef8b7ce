#ifndef YP_FRAMEWORK_NETWORK_TESTS_SERVEDCONTEXT_H
#define YP_FRAMEWORK_NETWORK_TESTS_SERVEDCONTEXT_H

#include "framework/network/network.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

namespace yp {

/// An io_context that a thread of its own runs until the end of the test.
class ServedContext
{
public:
  ~ServedContext()
  {
    this->context.stop();
    this->thread.join();
  }

  /// Runs a function on the context's thread and returns its value.
  template<class F>
  auto Call(F aFunction) -> decltype(aFunction())
  {
    std::packaged_task<decltype(aFunction())()> task(aFunction);
    auto result = task.get_future();
    boost::asio::post(this->context, [&task] { task(); });
    return result.get();
  }

  boost::asio::io_context context;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
    this->context.get_executor()
  };
  std::thread thread{ [this] { this->context.run(); } };
};

/// A blocking connection that sends and receives plain bytes.
class RawClient
{
public:
  explicit RawClient(const Endpoint& aEndpoint)
    : socket(this->context)
  {
    this->socket.connect({ boost::asio::ip::make_address(aEndpoint.address), aEndpoint.port });
  }

  void Send(const std::string& aText)
  {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(aText), ignored);
  }

  /// Reads until the text has come a number of times or the connection ends.
  std::string ReadUntil(const std::string& aText, int aTimes = 1)
  {
    std::string all;
    char byte = 0;
    boost::system::error_code error;
    while (aTimes > 0 && boost::asio::read(this->socket, boost::asio::buffer(&byte, 1), error) == 1) {
      all += byte;
      if (all.size() >= aText.size() && all.compare(all.size() - aText.size(), aText.size(), aText) == 0) {
        --aTimes;
      }
    }
    return all;
  }

  /// Reads until the server closes the connection.
  std::string ReadAll()
  {
    std::string all;
    boost::system::error_code error;
    boost::asio::read(this->socket, boost::asio::dynamic_buffer(all), error);
    return all;
  }

private:
  boost::asio::io_context context;

public:
  boost::asio::ip::tcp::socket socket;
};

} // namespace yp

#endif
