#include "framework/global/internal/logwriter.h"
#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace yp {

namespace {

constexpr std::size_t kMaxHeldBytes = 64 * 1024;

/// \return whether a write of PIPE_BUF bytes does not wait; false also when the reader has closed
bool
IsWritable(int aDescriptor)
{
  pollfd poll{ aDescriptor, POLLOUT, 0 };
  return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0 && (poll.revents & POLLERR) == 0;
}

} // namespace

void
LogWriter::Write(std::string_view aLine)
{
  if (this->held.size() + aLine.size() > kMaxHeldBytes) {
    this->Flush();
  }
  if (this->held.size() + aLine.size() > kMaxHeldBytes) {
    ++this->dropped;
    return;
  }
  this->held.append(aLine);
  this->Flush();
}

void
LogWriter::Flush()
{
  std::size_t written = 0;
  while (written < this->held.size() && IsWritable(this->descriptor)) {
    // A writable pipe takes PIPE_BUF bytes at once and may wait for more.
    const std::size_t size = std::min<std::size_t>(PIPE_BUF, this->held.size() - written);
    const ssize_t result = ::write(this->descriptor, this->held.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  this->held.erase(0, written);
}

std::uint64_t
LogWriter::TakeDropped()
{
  return this->held.empty() ? std::exchange(this->dropped, 0) : 0;
}

} // namespace yp
