#include "backend/backend.h"
#include <charconv>
#include <sstream>

namespace yp {

namespace {

constexpr std::chrono::milliseconds kNoTime{ 0 };
constexpr std::chrono::milliseconds kMaxTime{ 600'000 };

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    const auto first = part.find_first_not_of(' ');
    if (first != std::string::npos) {
      parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
  }
  return parts;
}

Duration
ReadMicroseconds(SettingsFile& aFile, const std::string& aKey)
{
  return std::chrono::microseconds(aFile.Integer("behaviour", aKey, 0, 0, 60'000'000));
}

std::uint32_t
ReadCount(SettingsFile& aFile, const std::string& aSection, const std::string& aKey, int aDefault, int aMin)
{
  return static_cast<std::uint32_t>(aFile.Integer(aSection, aKey, aDefault, aMin, 10'000'000));
}

BackendBehaviour
ReadBehaviour(SettingsFile& aFile)
{
  const std::string section = "behaviour";
  const auto milliseconds = [&](const std::string& aKey, Duration aDefault) {
    const auto value = std::chrono::duration_cast<std::chrono::milliseconds>(aDefault);
    return aFile.Milliseconds(section, aKey, value, kNoTime, kMaxTime);
  };
  BackendBehaviour behaviour;
  behaviour.base = ReadMicroseconds(aFile, "base_us");
  behaviour.spread = ReadMicroseconds(aFile, "spread_us");
  behaviour.stragglerProbability = aFile.Real(section, "straggler_probability", 0, 0, 1);
  behaviour.stragglerFactor = aFile.Real(section, "straggler_factor", behaviour.stragglerFactor, 1, 1000);
  behaviour.delayProbability = aFile.Real(section, "delay_probability", 0, 0, 1);
  behaviour.delay = milliseconds("delay_ms", behaviour.delay);
  behaviour.coldStart = milliseconds("cold_start_ms", behaviour.coldStart);
  behaviour.coldFactor = aFile.Real(section, "cold_factor", behaviour.coldFactor, 1, 1000);
  behaviour.queue = ReadCount(aFile, section, "queue", static_cast<int>(behaviour.queue), 0);
  behaviour.drainGrace = milliseconds("drain_grace_ms", behaviour.drainGrace);
  behaviour.healthLag = milliseconds("health_lag_ms", behaviour.healthLag);
  return behaviour;
}

std::vector<IndexVersion>
ReadVersions(const std::string& aText)
{
  std::vector<IndexVersion> versions;
  for (const auto& part : SplitList(aText)) {
    IndexVersion version = 0;
    const auto read = std::from_chars(part.data(), part.data() + part.size(), version);
    if (read.ec != std::errc() || read.ptr != part.data() + part.size()) {
      return {};
    }
    versions.push_back(version);
  }
  return versions;
}

BackendLeafSettings
ReadLeaf(SettingsFile& aFile, const std::string& aLeaf)
{
  const std::string section = "leaf." + aLeaf;
  BackendLeafSettings settings;
  settings.leaf = aLeaf;
  settings.service = aFile.RequiredText(section, "service");
  settings.endpoint.address = aFile.RequiredAddress(section, "address");
  settings.endpoint.port = aFile.RequiredPort(section, "port");
  settings.layout = ReadCount(aFile, section, "layout", 1, 0);
  settings.shard = ReadCount(aFile, section, "shard", 0, 0);
  settings.shardIndex = ReadCount(aFile, section, "shard_index", static_cast<int>(settings.shard), 0);
  settings.totalShards = ReadCount(aFile, section, "total_shards", 1, 1);
  settings.slots = ReadCount(aFile, section, "slots", 2, 1);
  settings.connections = ReadCount(aFile, section, "connections", 25, 1);
  settings.documents = ReadCount(aFile, section, "documents", 1000, 0);
  settings.versions = ReadVersions(aFile.Text(section, "versions", "1"));
  const auto records = aFile.Choice(section, "records", "cells", { "cells", "aprons" });
  settings.records = records == "cells" ? RecordKind::kCells : RecordKind::kAprons;
  return settings;
}

} // namespace

Result<BackendSettings>
LoadBackendSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(file, SettingsFile::Load(aPath));
  BackendSettings settings;
  settings.name = file.RequiredText("server", "name");
  settings.admin.address = file.RequiredAddress("server", "admin_address");
  settings.admin.port = file.RequiredPort("server", "admin_port");
  settings.executionLog = file.Text("server", "execution_log", "");
  settings.seed = static_cast<std::uint64_t>(file.Integer("server", "seed", 1, 0, 1'000'000'000));
  for (const auto& leafId : SplitList(file.RequiredText("server", "leafs"))) {
    settings.leafs.push_back(ReadLeaf(file, leafId));
  }
  settings.behaviour = ReadBehaviour(file);
  BOOST_LEAF_CHECK(file.Finish());
  for (const auto& entry : settings.leafs) {
    if (entry.versions.empty() || entry.shardIndex >= entry.totalShards) {
      return Fail(ErrorCode::kBadInput,
                  "standin_backend.settings",
                  "",
                  "file=" + aPath + " section=leaf." + entry.leaf +
                    ": versions is a list of numbers, and shard_index is less than total_shards");
    }
  }
  return settings;
}

} // namespace yp
