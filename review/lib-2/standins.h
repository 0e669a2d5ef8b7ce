#ifndef REVIEW_LIB2_STANDINS_H
#define REVIEW_LIB2_STANDINS_H

/// \file
/// Stand-ins of the store, leafs and callers, and nodes as processes, for the scripts of this review. Only
/// the standard library and POSIX are used.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

using Headers = std::vector<std::pair<std::string, std::string>>;

/// \return the value of the first field with a name, compared without regard to case; empty when absent
std::string
Find(const Headers& aHeaders, const std::string& aName);

struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;
};

std::string
ToString(const Endpoint& aEndpoint);

/// Writes record.txt: one line for each event, with the time since the start of the case.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& aLine);

  /// \return time since the start of the case
  Milliseconds Now() const;

private:
  std::FILE* file;
  const TimePoint start = Clock::now();
  std::mutex mutex;
};

struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

struct Response
{
  int status = 200;
  Headers headers;
  std::string body;
  /// Bytes that a server sends once more after this response, when the next request has arrived.
  std::string late;
};

/// \return the bytes of a response on the wire
std::string
Encode(const Response& aResponse);

/// HTTP/1.1 server with one thread for each connection.
class Server
{
public:
  /// \return the response; nothing when the connection is to be reset
  using Handler = std::function<std::optional<Response>(const Request&)>;

  /// Listens on an address. Port 0 takes a free one.
  Server(const Endpoint& aListen, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Endpoint Local() const { return this->local; }

  /// Ends listening and resets all connections.
  void Close();

private:
  void Accept();
  void Serve(int aSocket);

  Handler handler;
  Endpoint local;
  int listener = -1;
  std::atomic<bool> closed{ false };
  std::thread acceptor;
  std::mutex mutex;
  std::vector<int> sockets;
  std::vector<std::thread> threads;
};

/// The platform's store. Each node reaches it at an address of its own, so that it can turn single nodes
/// away. The history is kept for the whole case.
class Store
{
public:
  explicit Store(Record& aRecord);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Opens the address of one more node.
  /// \return the address
  Endpoint OpenFor(const std::string& aNode, const std::string& aAddress);

  /// Answers a node's calls with 503, or serves it again.
  void SetTurnedAway(const std::string& aNode, bool aTurnedAway);

  /// Writes a value and records the acknowledgement.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  void Close();

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  std::optional<Response> Handle(const std::string& aNode, const Request& aRequest);
  Response Range(const std::map<std::string, std::string>& aQuery);
  Response Watch(const std::string& aNode, const std::map<std::string, std::string>& aQuery);
  static std::string ItemText(const std::string& aKey, const Item& aItem);

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<std::pair<std::uint64_t, std::string>> history; ///< revision and event
  std::map<std::string, bool> turnedAway;
  std::vector<std::unique_ptr<Server>> servers;
  std::uint64_t revision = 10;
  bool closed = false;
};

/// What reached a leaf.
struct Arrival
{
  Milliseconds when{ 0 };
  std::string id;
  std::string leaf;
  std::string service;
  std::string target;
};

/// One incarnation of a leaf. By default it runs each request for a while and answers 200.
class Leaf
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    Milliseconds work{ 10 };
    int concurrency = 4;
  };

  Leaf(Record& aRecord, const Options& aOptions);

  /// \return the value that it registers with
  std::string Registration(const std::string& aState, int aSequence) const;
  std::string Key() const { return "servers/" + this->options.id; }
  Endpoint Address() const { return this->server.Local(); }
  const Options& Settings() const { return this->options; }
  std::vector<Arrival> Arrivals();

  /// Replaces the answer of a request that it would run; called on the connection's thread.
  void SetBehaviour(std::function<std::optional<Response>(const Request&, Response)> aBehaviour);

  /// The process ends: connections are reset and new ones refused.
  void End() { this->server.Close(); }

private:
  std::optional<Response> Handle(const Request& aRequest);

  Record& record;
  const Options options;
  const std::int64_t born;
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::function<std::optional<Response>(const Request&, Response)> behaviour;
  std::atomic<int> stamps{ 0 };
  Server server;
};

/// A node, started with the command of the deploy file.
class Node
{
public:
  struct Ports
  {
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t addresses = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
  };

  struct Options
  {
    std::string name;
    std::string zone;
    std::string address;
    Ports ports;
    std::vector<std::string> seeds; ///< addresses of nodes
    Endpoint store;
  };

  Node(Record& aRecord, const std::string& aFolder, const Options& aOptions);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Start();
  void Signal(int aSignal);

  /// Waits for the end of the process.
  /// \return whether it has ended
  bool WaitEnd(Milliseconds aLimit);
  void Kill();
  bool Ready() const;
  bool WaitReady(Milliseconds aLimit) const;
  Endpoint Callers() const { return { this->options.address, this->options.ports.callers }; }
  const std::string& Name() const { return this->options.name; }

private:
  Record& record;
  const std::string folder;
  const Options options;
  pid_t process = 0;
};

/// A caller's connection.
class Connection
{
public:
  ~Connection();
  Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open(const Endpoint& aTo, Milliseconds aLimit = Milliseconds(1000));
  bool IsOpen() const { return this->socket >= 0; }

  /// \return the response; nothing when the connection ended or the time is over
  std::optional<Response> Ask(const std::string& aText, Milliseconds aLimit);
  void Close();

private:
  int socket = -1;
  std::string input;
};

/// One attempt of a caller.
struct Attempt
{
  std::string id;
  std::string method = "GET";
  std::string target;
  std::string body;
  Milliseconds deadline{ 1000 };
};

/// Sends an attempt and records it with its answer.
std::optional<Response>
Send(Record& aRecord, Connection& aConnection, const std::string& aHost, const Attempt& aAttempt);

/// Deletes a temporary folder at its end.
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return this->path; }

private:
  std::string path;
};

/// \return the first three numbers of a loopback network in which aCount addresses have the same free ports
std::string
FindNetwork(int aCount, Node::Ports& aPorts);

std::string
NextId();

/// \return the whole number that an environment variable holds, or a default
int
FromEnvironment(const char* aName, int aDefault);

/// Runs a case.
/// \return 0 when the rule held, 1 when it was broken, 2 when the case could not run
int
RunCase(int aCount, char** aArguments, const std::function<int(Record&, bool aTrouble)>& aCase);

} // namespace review

#endif
