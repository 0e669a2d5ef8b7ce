#include "standins.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadSize = 65536;

sockaddr_in
ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

bool
BindTo(int aSocket, const Endpoint& aEndpoint)
{
  const sockaddr_in address = ToSocketAddress(aEndpoint);
  return bind(aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

void
ResetAndClose(int aSocket)
{
  const linger option{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  close(aSocket);
}

bool
WriteAll(int aSocket, const std::string& aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const ssize_t count = send(aSocket, aText.data() + at, aText.size() - at, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads more bytes until a deadline.
/// \return whether there were any
bool
ReadMore(int aSocket, std::string& aInput, TimePoint aUntil)
{
  const auto left = std::chrono::duration_cast<Milliseconds>(aUntil - Clock::now()).count();
  if (left <= 0) {
    return false;
  }
  pollfd waiting{ aSocket, POLLIN, 0 };
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[kReadSize];
  const ssize_t count = recv(aSocket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  aInput.append(bytes, static_cast<std::size_t>(count));
  return true;
}

/// Takes a first line and header fields from the start of the input.
/// \return whether they were complete
bool
TakeHead(std::string& aInput, std::string& aFirst, Headers& aHeaders)
{
  const std::size_t end = aInput.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  std::istringstream head(aInput.substr(0, end));
  aInput.erase(0, end + 4);
  std::getline(head, aFirst);
  aFirst.erase(aFirst.find_last_not_of('\r') + 1);
  for (std::string line; std::getline(head, line);) {
    line.erase(line.find_last_not_of('\r') + 1);
    const std::size_t colon = line.find(':');
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    aHeaders.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
  }
  return true;
}

bool
TakeBody(int aSocket, std::string& aInput, const Headers& aHeaders, std::string& aBody, TimePoint aUntil)
{
  const std::string length = Find(aHeaders, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (aInput.size() < size) {
    if (!ReadMore(aSocket, aInput, aUntil)) {
      return false;
    }
  }
  aBody = aInput.substr(0, size);
  aInput.erase(0, size);
  return true;
}

std::string
EncodeBase64(const std::string& aBytes)
{
  static const char sDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      bits = bits << 8 | (at + i < aBytes.size() ? static_cast<unsigned char>(aBytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i > aBytes.size() ? '=' : sDigits[bits >> (18 - 6 * i) & 63];
    }
  }
  return text;
}

std::string
Unescape(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      text += aText[at];
    }
  }
  return text;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const std::size_t mark = aTarget.find('?');
  std::istringstream rest(mark == std::string::npos ? "" : aTarget.substr(mark + 1));
  for (std::string part; std::getline(rest, part, '&');) {
    const std::size_t equals = part.find('=');
    query[part.substr(0, equals)] = equals == std::string::npos ? "" : Unescape(part.substr(equals + 1));
  }
  return query;
}

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

Response
JsonResponse(const std::string& aText)
{
  return { 200, { { "Content-Type", "application/json" } }, aText, "" };
}

} // namespace

std::string
Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

std::string
Encode(const Response& aResponse)
{
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.status) + " Status\r\n";
  for (const auto& [name, value] : aResponse.headers) {
    text += name;
    text += ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aResponse.body.size()) + "\r\n\r\n" + aResponse.body;
}

Record::Record(const std::string& aPath)
  : file(std::fopen(aPath.c_str(), "w"))
{
  if (this->file == nullptr) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

Record::~Record()
{
  std::fclose(this->file);
}

Milliseconds
Record::Now() const
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start);
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::fprintf(this->file, "%8.3f %s\n", std::chrono::duration<double>(this->Now()).count(), aLine.c_str());
  std::fflush(this->file);
}

Server::Server(const Endpoint& aListen, Handler aHandler)
  : handler(std::move(aHandler))
  , local(aListen)
  , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!BindTo(this->listener, aListen) || listen(this->listener, 512) != 0) {
    throw std::runtime_error("cannot listen on " + ToString(aListen));
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
  this->local.port = ntohs(bound.sin_port);
  this->acceptor = std::thread([this] { this->Accept(); });
}

Server::~Server()
{
  this->Close();
  this->acceptor.join();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void
Server::Close()
{
  if (this->closed.exchange(true)) {
    return;
  }
  shutdown(this->listener, SHUT_RDWR);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const int socket : this->sockets) {
    shutdown(socket, SHUT_RDWR);
  }
}

void
Server::Accept()
{
  while (!this->closed) {
    const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      break;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->closed) {
      ResetAndClose(socket);
      break;
    }
    this->sockets.push_back(socket);
    this->threads.emplace_back([this, socket] { this->Serve(socket); });
  }
  close(this->listener);
}

void
Server::Serve(int aSocket)
{
  std::string input;
  std::string late;
  bool reset = false;
  while (!this->closed) {
    Request request;
    std::string first;
    const TimePoint until = Clock::now() + std::chrono::minutes(2);
    bool complete = TakeHead(input, first, request.headers);
    while (!complete && ReadMore(aSocket, input, until)) {
      complete = TakeHead(input, first, request.headers);
    }
    if (!complete || !TakeBody(aSocket, input, request.headers, request.body, until)) {
      break;
    }
    std::istringstream line(first);
    line >> request.method >> request.target;
    if (!WriteAll(aSocket, late)) {
      break;
    }
    const std::optional<Response> response = this->handler(request);
    reset = !response;
    late = response ? response->late : "";
    if (!response || !WriteAll(aSocket, Encode(*response))) {
      break;
    }
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.erase(std::remove(this->sockets.begin(), this->sockets.end(), aSocket),
                        this->sockets.end());
  }
  if (reset || this->closed) {
    ResetAndClose(aSocket);
  } else {
    close(aSocket);
  }
}

Store::Store(Record& aRecord)
  : record(aRecord)
{
}

Store::~Store()
{
  this->Close();
}

void
Store::Close()
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->closed = true;
  }
  this->changed.notify_all();
  for (const std::unique_ptr<Server>& server : this->servers) {
    server->Close();
  }
}

Endpoint
Store::OpenFor(const std::string& aNode, const std::string& aAddress)
{
  this->servers.push_back(
    std::make_unique<Server>(Endpoint{ aAddress, 0 }, [this, aNode](const Request& aRequest) {
      return this->Handle(aNode, aRequest);
    }));
  return this->servers.back()->Local();
}

void
Store::SetTurnedAway(const std::string& aNode, bool aTurnedAway)
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->turnedAway[aNode] = aTurnedAway;
  }
  this->changed.notify_all();
  this->record.Add("store " + std::string(aTurnedAway ? "turns away " : "serves again ") + aNode);
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Item& item = this->items[aKey];
    item.value = aValue;
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    this->history.emplace_back(item.revision, ItemText(aKey, item));
  }
  this->changed.notify_all();
  this->record.Add("store acknowledges put " + aKey + " " + aValue.substr(0, 240));
}

void
Store::Remove(const std::string& aKey)
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->items.erase(aKey) == 0) {
      return;
    }
    const std::uint64_t removed = ++this->revision;
    this->history.emplace_back(
      removed, R"({"key":")" + aKey + R"(","revision":)" + std::to_string(removed) + R"(,"tombstone":true})");
  }
  this->changed.notify_all();
  this->record.Add("store acknowledges removal " + aKey);
}

std::string
Store::ItemText(const std::string& aKey, const Item& aItem)
{
  return R"({"key":")" + aKey + R"(","value":")" + EncodeBase64(aItem.value) + R"(","revision":)" +
         std::to_string(aItem.revision) + R"(,"created":)" + std::to_string(aItem.created) + R"(,"lease":0})";
}

std::optional<Response>
Store::Handle(const std::string& aNode, const Request& aRequest)
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->turnedAway[aNode]) {
      return Response{ 503, {}, "", "" };
    }
  }
  const std::map<std::string, std::string> query = ParseQuery(aRequest.target);
  if (StartsWith(aRequest.target, "/-/kv-range")) {
    return this->Range(query);
  }
  if (StartsWith(aRequest.target, "/-/kv-watch")) {
    return this->Watch(aNode, query);
  }
  return Response{ 404, {}, "", "" };
}

Response
Store::Range(const std::map<std::string, std::string>& aQuery)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto prefix = aQuery.find("pathPrefix");
  const auto after = aQuery.find("after");
  std::string text;
  for (const auto& [key, item] : this->items) {
    const bool wanted = prefix == aQuery.end() || StartsWith(key, prefix->second);
    if (wanted && (after == aQuery.end() || key > after->second)) {
      text += (text.empty() ? "" : ",") + ItemText(key, item);
    }
  }
  return JsonResponse(R"({"items":[)" + text + R"(],"hasMore":false,"asOf":)" +
                      std::to_string(this->revision) + "}");
}

Response
Store::Watch(const std::string& aNode, const std::map<std::string, std::string>& aQuery)
{
  const std::uint64_t after = std::stoull(aQuery.at("after"));
  const TimePoint until = Clock::now() + Milliseconds(std::stol(aQuery.at("waitMs")));
  std::unique_lock<std::mutex> lock(this->mutex);
  const auto ready = [&] { return this->closed || this->turnedAway[aNode] || this->revision > after; };
  this->changed.wait_until(lock, until, ready);
  if (this->closed || this->turnedAway[aNode]) {
    return { 503, {}, "", "" };
  }
  std::string text;
  for (const auto& [changedAt, event] : this->history) {
    if (changedAt > after) {
      text += (text.empty() ? "" : ",") + event;
    }
  }
  return JsonResponse(R"({"events":[)" + text + R"(],"asOf":)" + std::to_string(this->revision) + "}");
}

Leaf::Leaf(Record& aRecord, const Options& aOptions)
  : record(aRecord)
  , options(aOptions)
  , born(
      std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
  , server({ aOptions.address, 0 }, [this](const Request& aRequest) { return this->Handle(aRequest); })
{
}

std::string
Leaf::Registration(const std::string& aState, int aSequence) const
{
  return R"({"service":")" + this->options.service + R"(","address":")" + ToString(this->server.Local()) +
         R"(","zone":")" + this->options.zone + R"(","version":"v1","concurrency":)" +
         std::to_string(this->options.concurrency) + R"(,"state":")" + aState +
         R"(","warmupLeftMs":0,"sequence":)" + std::to_string(aSequence) + R"(,"born":)" +
         std::to_string(this->born) + "}";
}

std::vector<Arrival>
Leaf::Arrivals()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->arrivals;
}

void
Leaf::SetBehaviour(std::function<std::optional<Response>(const Request&, Response)> aBehaviour)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->behaviour = std::move(aBehaviour);
}

std::optional<Response>
Leaf::Handle(const Request& aRequest)
{
  const std::string id = Find(aRequest.headers, "X-Request-Id");
  const std::string wanted = Find(aRequest.headers, "X-Expect-Instance");
  const std::string name = this->options.id + " (" + this->options.service + ")";
  if (!wanted.empty() && wanted != this->options.id) {
    this->record.Add("leaf " + name + " answers 421 to " + id + ", which expects " + wanted);
    return Response{
      421,
      { { "X-Request-Id", id }, { "X-Not-Executed", "1" }, { "X-Instance-Id", this->options.id } },
      "",
      ""
    };
  }
  std::function<std::optional<Response>(const Request&, Response)> behave;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->arrivals.push_back(
      { this->record.Now(), id, this->options.id, this->options.service, aRequest.target });
    behave = this->behaviour;
  }
  this->record.Add("leaf " + name + " gets " + id + " " + aRequest.method + " " + aRequest.target);
  Response response;
  response.headers = { { "X-Request-Id", id },
                       { "X-Server-Stamp", this->options.id + "." + std::to_string(++this->stamps) } };
  response.body = this->options.id + " ran " + id;
  if (behave) {
    return behave(aRequest, std::move(response));
  }
  std::this_thread::sleep_for(this->options.work);
  this->record.Add("leaf " + name + " has run " + id + ", 200");
  return response;
}

Node::Node(Record& aRecord, const std::string& aFolder, const Options& aOptions)
  : record(aRecord)
  , folder(aFolder)
  , options(aOptions)
{
}

Node::~Node()
{
  this->Kill();
}

void
Node::Start()
{
  const std::string path = this->folder + "/" + this->options.name + ".ini";
  std::string seeds;
  for (const std::string& seed : this->options.seeds) {
    seeds += (seeds.empty() ? "" : ",") + seed + ":" + std::to_string(this->options.ports.peers);
  }
  const std::string& address = this->options.address;
  std::ofstream(path) << "[node]\nhost = " << this->options.name
                      << "\nfailure_domain = " << this->options.zone
                      << "\nregion = r\nprocessor_share = 0.25\n\n[listen]\ncallers = " << address << ":"
                      << this->options.ports.callers << "\nreadiness = " << address << ":"
                      << this->options.ports.readiness << "\naddresses = " << address << ":"
                      << this->options.ports.addresses << "\n\n[peers]\nport = " << this->options.ports.peers
                      << "\nseeds = " << seeds << "\n\n[metrics]\nport = " << this->options.ports.metrics
                      << "\n\n[store]\naddress = " << ToString(this->options.store)
                      << "\n\n[extra_load]\nratio = 0.2\nslack = 54\n\n[stop]\ngrace_s = 6\n";
  const std::string log = this->folder + "/" + this->options.name + ".log";
  this->record.Add("start " + this->options.name);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  std::string setting = "YUCCASPOOL_CONFIG=" + path;
  char* const environment[] = { setting.data(), nullptr };
  std::string program = "target/bin/yuccaspool-node";
  char* const arguments[] = { program.data(), nullptr };
  this->process = fork();
  if (this->process == 0) {
    // Only calls that are safe after a fork of a process with threads.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(arguments[0], arguments, environment);
    _exit(127);
  }
  close(output);
}

void
Node::Signal(int aSignal)
{
  if (this->process > 0) {
    this->record.Add("signal " + std::string(strsignal(aSignal)) + " to " + this->options.name);
    kill(this->process, aSignal);
  }
}

bool
Node::WaitEnd(Milliseconds aLimit)
{
  const TimePoint until = Clock::now() + aLimit;
  while (this->process > 0) {
    int status = 0;
    if (waitpid(this->process, &status, WNOHANG) == this->process) {
      this->process = 0;
      this->record.Add("end of " + this->options.name + ", status " + std::to_string(status));
      break;
    }
    if (Clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return true;
}

void
Node::Kill()
{
  this->Signal(SIGKILL);
  this->WaitEnd(Milliseconds(5000));
}

bool
Node::Ready() const
{
  Connection connection;
  if (!connection.Open({ this->options.address, this->options.ports.readiness })) {
    return false;
  }
  const std::optional<Response> response =
    connection.Ask("GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n", Milliseconds(1000));
  return response && response->status == 200;
}

bool
Node::WaitReady(Milliseconds aLimit) const
{
  const TimePoint until = Clock::now() + aLimit;
  while (Clock::now() < until) {
    if (this->Ready()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

Connection::~Connection()
{
  this->Close();
}

void
Connection::Close()
{
  if (this->socket >= 0) {
    close(this->socket);
  }
  this->socket = -1;
  this->input.clear();
}

bool
Connection::Open(const Endpoint& aTo, Milliseconds aLimit)
{
  this->Close();
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = ToSocketAddress(aTo);
  const int result = connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  pollfd waiting{ this->socket, POLLOUT, 0 };
  int error = result == 0 ? 0 : errno;
  if (error == EINPROGRESS && poll(&waiting, 1, static_cast<int>(aLimit.count())) == 1) {
    socklen_t size = sizeof(error);
    getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  if (error != 0) {
    this->Close();
    return false;
  }
  fcntl(this->socket, F_SETFL, fcntl(this->socket, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

std::optional<Response>
Connection::Ask(const std::string& aText, Milliseconds aLimit)
{
  const TimePoint until = Clock::now() + aLimit;
  if (!this->IsOpen()) {
    return std::nullopt;
  }
  // A server may answer before it has read everything, so a failed write does not end the attempt.
  WriteAll(this->socket, aText);
  Response response;
  std::string first;
  bool complete = TakeHead(this->input, first, response.headers);
  while (!complete && ReadMore(this->socket, this->input, until)) {
    complete = TakeHead(this->input, first, response.headers);
  }
  if (!complete || !TakeBody(this->socket, this->input, response.headers, response.body, until)) {
    this->Close();
    return std::nullopt;
  }
  response.status = std::stoi(first.substr(first.find(' ') + 1));
  if (strcasecmp(Find(response.headers, "Connection").c_str(), "close") == 0) {
    this->Close();
  }
  return response;
}

std::optional<Response>
Send(Record& aRecord, Connection& aConnection, const std::string& aHost, const Attempt& aAttempt)
{
  std::string text = aAttempt.method + " " + aAttempt.target + " HTTP/1.1\r\nHost: " + aHost +
                     "\r\nX-Request-Id: " + aAttempt.id +
                     "\r\nX-Deadline: " + std::to_string(aAttempt.deadline.count()) + "\r\n";
  if (!aAttempt.body.empty()) {
    text += "Content-Length: " + std::to_string(aAttempt.body.size()) + "\r\n";
  }
  aRecord.Add("caller sends " + aAttempt.id + " " + aAttempt.method + " " + aAttempt.target + " body " +
              std::to_string(aAttempt.body.size()));
  const std::optional<Response> response =
    aConnection.Ask(text + "\r\n" + aAttempt.body, aAttempt.deadline + Milliseconds(500));
  aRecord.Add("caller gets " + aAttempt.id + " " +
              (response
                 ? std::to_string(response->status) + " stamp " + Find(response->headers, "X-Server-Stamp") +
                     " body " + response->body.substr(0, 80)
                 : "no answer"));
  return response;
}

TemporaryFolder::TemporaryFolder()
{
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
  if (std::getenv("KEEP") == nullptr) {
    const std::string command = "rm -rf '" + this->path + "'";
    if (std::system(command.c_str()) != 0) {
      std::fprintf(stderr, "could not delete %s\n", this->path.c_str());
    }
  } else {
    std::fprintf(stderr, "kept %s\n", this->path.c_str());
  }
}

std::string
FindNetwork(int aCount, Node::Ports& aPorts)
{
  std::random_device seed;
  std::mt19937 random(seed());
  for (int attempt = 0; attempt < 200; ++attempt) {
    const std::string network =
      "127." + std::to_string(64 + random() % 180) + "." + std::to_string(random() % 250);
    const auto first = static_cast<std::uint16_t>(20000 + random() % 10000);
    bool free = true;
    for (int index = 1; index <= aCount && free; ++index) {
      for (std::uint16_t port = first; port < first + 5 && free; ++port) {
        for (const int kind : { SOCK_STREAM, SOCK_DGRAM }) {
          const int socket = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
          free = free && BindTo(socket, { network + "." + std::to_string(index), port });
          close(socket);
        }
      }
    }
    if (free) {
      aPorts = { first,
                 static_cast<std::uint16_t>(first + 1),
                 static_cast<std::uint16_t>(first + 2),
                 static_cast<std::uint16_t>(first + 3),
                 static_cast<std::uint16_t>(first + 4) };
      return network;
    }
  }
  throw std::runtime_error("no free ports");
}

std::string
NextId()
{
  static std::atomic<std::uint64_t> sNext{ 1 };
  char text[24];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(0x5eed000000000000ULL + sNext++));
  return text;
}

int
FromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

int
RunCase(int aCount, char** aArguments, const std::function<int(Record&, bool)>& aCase)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", aArguments[0]);
    return 2;
  }
  try {
    Record record(aArguments[1]);
    const bool trouble = FromEnvironment("TROUBLE", 1) != 0;
    record.Add(trouble ? "case with its disruption" : "case without its disruption");
    const int result = aCase(record, trouble);
    const char* const texts[] = { "the rule held", "the rule was broken", "the case could not run" };
    record.Add(texts[result]);
    std::printf("%s\n", texts[result]);
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}

} // namespace review
