#ifndef YP_STANDINS_BACKEND_INTERNAL_LEAFSESSION_H
#define YP_STANDINS_BACKEND_INTERNAL_LEAFSESSION_H

#include "backend/internal/leafserver.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace yp {

/// One connection to a leaf. Reads ahead while a request runs, and replies in the order of the requests.
class LeafSession : public std::enable_shared_from_this<LeafSession>
{
public:
  LeafSession(LeafServer& aServer, boost::asio::ip::tcp::socket aSocket);

  void Start() { this->Read(); }
  void Close();

  /// Writes what is done, in order.
  void Flush();

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRequest();
  void OnDelete(const std::string& aId);
  void OnWork(const std::string& aOperation);
  void PushDone(std::string aReply);

  LeafServer& server;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::deque<LeafWorkRef> pipeline;
  std::string output;
  bool reading = false;
  bool writing = false;
  bool closing = false; ///< after the output is written
  bool closed = false;
};

} // namespace yp

#endif
