#ifndef YP_STANDINS_BACKEND_BACKENDTYPES_H
#define YP_STANDINS_BACKEND_BACKENDTYPES_H

#include "tickets/tickettypes.h"

namespace yp {

/// What kind of records a leaf holds.
enum class RecordKind
{
  kCells, ///< watch cells and hearing-aid cells in vending machines
  kAprons ///< apron products
};

/// One leaf of a backend server.
struct BackendLeafSettings
{
  std::string leaf;
  std::string service;
  Endpoint endpoint;
  LayoutId layout = 1;
  ShardId shard = 0;
  std::uint32_t shardIndex = 0;  ///< position of the shard in its layout
  std::uint32_t totalShards = 1; ///< of the layout
  std::uint32_t slots = 2;
  std::uint32_t connections = 25;
  std::vector<IndexVersion> versions = { 1 };
  std::uint32_t documents = 1000; ///< of the whole service
  RecordKind records = RecordKind::kCells;
};

/// How long requests take, and what else a leaf does under load.
struct BackendBehaviour
{
  Duration base{ 0 };
  Duration spread{ 0 }; ///< uniformly distributed addition, up to this
  double stragglerProbability = 0;
  double stragglerFactor = 10;
  double delayProbability = 0;
  Duration delay = std::chrono::milliseconds(500);
  Duration coldStart{ 0 }; ///< service times fall from coldFactor to 1 over this time
  double coldFactor = 5;
  std::uint32_t queue = 8;                       ///< requests that wait for a slot of a leaf; more are shed
  Duration drainGrace = std::chrono::seconds(3); ///< new work is still run for so long after draining began
  Duration healthLag = std::chrono::seconds(2);  ///< age up to which health is reported
};

/// A backend server.
struct BackendSettings
{
  std::string name = "server";
  Endpoint admin{ "127.0.0.1", 0 };
  std::string executionLog; ///< path; empty for none
  std::uint64_t seed = 1;
  std::vector<BackendLeafSettings> leafs;
  BackendBehaviour behaviour;
};

} // namespace yp

#endif
