#include "framework/global/internal/logwriter.h"
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace yp;

namespace {

struct Pipe
{
  Pipe() { REQUIRE(::pipe(this->ends) == 0); }
  ~Pipe()
  {
    this->CloseReader();
    ::close(this->ends[1]);
  }

  void CloseReader() { ::close(std::exchange(this->ends[0], -1)); }

  /// \return what can be read without waiting
  std::string Read() const
  {
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char part[65536];
    for (ssize_t size = 0; (size = ::read(this->ends[0], part, sizeof(part))) > 0;) {
      text.append(part, static_cast<std::size_t>(size));
    }
    return text;
  }

  int ends[2];
};

} // namespace

// Guards against a process that hangs while nobody reads its log: the pipe is full after 64 KB.
TEST_CASE("a stopped reader costs log lines and never blocks the writer")
{
  Pipe pipe;
  LogWriter writer(pipe.ends[1]);
  const std::string tail(90, 'x');
  for (int line = 0; line < 10000; ++line) {
    writer.Write(std::to_string(line) + tail + "\n");
  }
  CHECK(writer.TakeDropped() == 0);
  std::string text = pipe.Read();
  writer.Flush();
  text += pipe.Read();
  writer.Flush();
  const std::uint64_t dropped = writer.TakeDropped();
  text += pipe.Read();
  int expected = 0;
  for (std::size_t at = 0; at < text.size(); ++expected) {
    const std::size_t end = text.find('\n', at);
    REQUIRE(text.substr(at, end - at) == std::to_string(expected) + tail);
    at = end + 1;
  }
  CHECK(dropped == static_cast<std::uint64_t>(10000 - expected));
  CHECK(expected > 1000);
  writer.Write("after\n");
  CHECK(pipe.Read() == "after\n");
}

// Guards against the signal that ends a process which writes to a pipe without a reader.
TEST_CASE("a reader that has closed costs log lines only")
{
  Pipe pipe;
  LogWriter writer(pipe.ends[1]);
  pipe.CloseReader();
  for (int line = 0; line < 2000; ++line) {
    writer.Write(std::string(100, 'x') + "\n");
  }
  CHECK(writer.TakeDropped() == 0);
}
