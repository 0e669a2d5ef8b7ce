#include "ctl/ctl.h"
#include "tickets/tests/ticketsamples.h"
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace yp;

namespace {

/// A file that is removed at the end of a test.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aContent)
    : path((std::filesystem::temp_directory_path() /
            ("yp_ctl_" + std::to_string(::getpid()) + "_" + std::to_string(sCreated++)))
             .string())
  {
    std::ofstream(this->path, std::ios::binary) << aContent;
  }
  ~TemporaryFile() { std::filesystem::remove(this->path); }

  const std::string path;

private:
  static inline int sCreated = 0;
};

struct Run
{
  ExitCode code;
  std::string out;
  std::string err;
};

Run
Execute(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(aArguments, { out, err });
  return { code, out.str(), err.str() };
}

} // namespace

// Guards against an invalid ticket reaching the configuration service, where its number could not be taken
// back.
TEST_CASE("lint accepts a valid ticket and names the path inside an invalid one")
{
  const TemporaryFile valid(SampleTicket(3).dump());
  CHECK(Execute({ "lint", valid.path }).code == ExitCode::kSuccess);
  nlohmann::json broken = SampleTicket(3);
  broken["objects"][0]["state"]["leafs"][1]["port"] = 0;
  const TemporaryFile invalid(broken.dump());
  const Run run = Execute({ "lint", valid.path, invalid.path });
  CHECK(run.code == ExitCode::kNegative);
  CHECK(run.err.find("objects[0].state.leafs[1].port") != std::string::npos);
}

// Guards against a crash of the tool on damaged files.
TEST_CASE("lint rejects damaged files")
{
  const std::string whole = SampleTicket(3).dump();
  const std::vector<std::string> contents = { whole.substr(0, whole.size() / 2),
                                              std::string(3 * 1024 * 1024, '['),
                                              "{\"ticket\":1,\"ticket\":2}",
                                              "\xff\xfe\x00",
                                              "null" };
  for (const std::string& content : contents) {
    const TemporaryFile file(content);
    CHECK(Execute({ "lint", "--json", file.path }).code == ExitCode::kNegative);
  }
  CHECK(Execute({ "lint", "no-such-file" }).code == ExitCode::kUsage);
}

// Guards against showing a state that no node would have.
TEST_CASE("state shows what the tickets yield and says what is missing")
{
  const TemporaryFile first(SampleTicket(1, "kiosk", 2).dump());
  const TemporaryFile third(SampleTicket(3, "kiosk", 9).dump());
  const Run run = Execute({ "state", third.path, first.path });
  CHECK(run.code == ExitCode::kNegative);
  CHECK(run.err.find("tickets 2 to 2 are missing") != std::string::npos);
  CHECK(nlohmann::json::parse(run.out)["services"]["kiosk"]["slots"] == 2);
}

TEST_CASE("diff names the objects and fields that differ")
{
  const TemporaryFile first(SampleTicket(1, "kiosk", 2).dump());
  const TemporaryFile second(SampleTicket(2, "kiosk", 3).dump());
  CHECK(Execute({ "diff", first.path, first.path }).code == ExitCode::kSuccess);
  const Run run = Execute({ "diff", first.path, second.path });
  CHECK(run.code == ExitCode::kNegative);
  CHECK(run.out.find("replace /slots 3") != std::string::npos);
}

TEST_CASE("wrong usage and an unreachable node have exit codes of their own")
{
  CHECK(Execute({}).code == ExitCode::kUsage);
  CHECK(Execute({ "lnit" }).code == ExitCode::kUsage);
  CHECK(Execute({ "lint" }).code == ExitCode::kUsage);
  CHECK(Execute({ "status", "--node", "localhost:1" }).code == ExitCode::kUsage);
  CHECK(Execute({ "status", "--node", "127.0.0.1:1" }).code == ExitCode::kUnreachable);
  CHECK(Execute({ "--help" }).code == ExitCode::kSuccess);
  CHECK(Execute({ "in-force", "--help" }).out.find("--ticket") != std::string::npos);
}

// Guards against a complaint that cannot be followed across nodes, or only with the lines in the wrong order.
TEST_CASE("trace shows a request's lines of all nodes by time, with what they believed of its leafs")
{
  const TemporaryFile one(
    "time=T1 level=info event=leaf_limit process=n1 leaf=l1 bounded=1 window=0.5\n"
    "time=T2 level=info event=leaf_limit process=n1 leaf=l2 bounded=1 window=0.7\n"
    "time=T5 level=info event=leaf_call process=n1 id=r1 leaf=l1 outcome=lost detail=\"End of file\"\n"
    "time=T6 level=info event=request process=n1 id=r2 outcome=merged\n");
  const TemporaryFile two(
    "no line of ours\ntime=T4 level=info event=request process=n2 id=r1 outcome=refused\n");
  const Run run = Execute({ "trace", "r1", one.path, two.path });
  CHECK(run.code == ExitCode::kSuccess);
  const std::size_t belief = run.out.find("time=T1");
  const std::size_t other = run.out.find("time=T4");
  const std::size_t call = run.out.find("time=T5");
  CHECK(belief < other);
  CHECK(other < call);
  CHECK(call != std::string::npos);
  CHECK(run.out.find("l2") == std::string::npos);
  CHECK(run.out.find("id=r2") == std::string::npos);
  CHECK(Execute({ "trace", "r9", one.path }).code == ExitCode::kNegative);
  CHECK(Execute({ "trace", "r1" }).code == ExitCode::kUsage);
  CHECK(Execute({ "trace", "r1", "/nonexistent" }).code == ExitCode::kUsage);
}
