#ifndef YP_STANDINS_BACKEND_INTERNAL_LEAFSERVER_H
#define YP_STANDINS_BACKEND_INTERNAL_LEAFSERVER_H

#include "backend/internal/recordindex.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <memory>
#include <optional>
#include <set>

namespace yp {

class LeafSession;

/// State that the control interface changes.
struct BackendControl
{
  double slowFactor = 1;
  bool refuse = false;
  bool lie = false; ///< health claims an idle, serving leaf
  std::optional<TimePoint> drainingSince;
};

/// What GET /admin/stats tells of a leaf.
struct LeafCounters
{
  std::uint64_t requests = 0;
  std::uint64_t executions = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused = 0;       ///< connections
  std::uint64_t lateForWork = 0;   ///< answered 408
  std::uint64_t afterDraining = 0; ///< requests received after draining began
  Duration lastAfterDraining{ 0 }; ///< time of the last of them since draining began
  std::size_t peakConnections = 0;
};

/// Appends one line for each execution, flushed before the reply.
class ExecutionLog
{
public:
  /// \return whether the file could be opened; an empty path writes nothing
  bool Open(const std::string& aPath);
  void Append(const std::string& aRequest, const std::string& aAttempt, const std::string& aKey);

private:
  std::ofstream file;
};

/// A request on its way through a leaf.
struct LeafWork
{
  enum class State
  {
    kWaiting,
    kRunning,
    kDone
  };

  explicit LeafWork(boost::asio::io_context& aContext)
    : timer(aContext)
  {
  }

  std::weak_ptr<LeafSession> session;
  State state = State::kWaiting;
  std::string id;
  bool execute = false;
  bool keepAlive = true;
  std::optional<IndexVersion> wantedVersion;
  TimePoint deadline = TimePoint::max();
  std::string body;
  std::string reply; ///< bytes to write once done
  boost::asio::steady_timer timer;
};

using LeafWorkRef = std::shared_ptr<LeafWork>;

/// One leaf: its port, slots, queue and index versions.
class LeafServer
{
public:
  LeafServer(boost::asio::io_context& aContext,
             const BackendSettings& aServer,
             const BackendLeafSettings& aLeaf,
             const BackendBehaviour& aBehaviour,
             const BackendControl& aControl,
             ExecutionLog& aLog);

  /// Opens the port.
  void Listen();
  void StopListening();

  /// Counts what is received from now on as received after draining began.
  void StartDraining();

  void AddVersion(IndexVersion aVersion);
  void DropVersion(IndexVersion aVersion);
  void CutConnections();

  /// Runs, queues or sheds a request.
  void Submit(const LeafWorkRef& aWork);

  /// Cancels a request that is not done.
  void Cancel(const LeafWorkRef& aWork);

  void OnSessionClosed(LeafSession& aSession);

  /// \return the whole reply in bytes
  std::string MakeReply(const LeafWork& aWork,
                        const char* aStatus,
                        const char* aNotRun,
                        const std::string& aBody) const;
  std::string HealthReply();

  const BackendLeafSettings& Settings() const { return this->leaf; }
  const LeafCounters& Counters() const { return this->counters; }
  std::size_t Connections() const { return this->sessions.size(); }
  std::size_t InFlight() const { return this->running + this->waiting.size(); }
  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  boost::asio::io_context& Context() { return this->context; }

private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void Refuse(boost::asio::ip::tcp::socket aSocket);
  bool Cold() const;
  bool DrainOver() const;
  void NoteDraining();
  Duration ServiceTime();
  void Start(const LeafWorkRef& aWork);
  void Run(const LeafWorkRef& aWork);
  void Finish(const LeafWorkRef& aWork, std::string aReply);
  void StartNext();
  bool LogExecution(const LeafWork& aWork);
  std::string SearchReply(const LeafWork& aWork);
  std::string ExecuteReply(const LeafWork& aWork);
  std::string VersionList() const;
  IndexVersion VersionFor(const LeafWork& aWork) const;
  void RefreshHealth();

  boost::asio::io_context& context;
  const BackendSettings& server;
  const BackendLeafSettings leaf;
  const BackendBehaviour& behaviour;
  const BackendControl& control;
  ExecutionLog& log;
  SeededRandom random;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer healthTimer;
  TimePoint startedAt;
  std::map<IndexVersion, std::unique_ptr<RecordIndex>> indexes;
  std::set<std::shared_ptr<LeafSession>> sessions;
  std::deque<LeafWorkRef> waiting;
  std::size_t running = 0;
  LeafCounters counters;
  std::string health;
};

} // namespace yp

#endif
