#include "overlay/internal/reportqueue.h"
#include <algorithm>

namespace yp {

namespace {

// Queued reports leave in batches of this size, because each frame has a header of its own.
constexpr std::size_t kBatch = 16;

} // namespace

void
ReportQueue::Refill(TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - this->refilled;
  this->refilled = aNow;
  this->tokens = std::min<double>(kBurst, this->tokens + elapsed.count() * kPerSecond);
}

bool
ReportQueue::Pass(const Suspicion& aReport, TimePoint aNow)
{
  this->Refill(aNow);
  if (this->queue.empty() && this->tokens >= 1) {
    this->tokens -= 1;
    return true;
  }
  if (this->queue.size() < kMaxQueued) {
    this->queue.push_back(aReport);
  }
  return false;
}

std::vector<Suspicion>
ReportQueue::Due(TimePoint aNow)
{
  this->Refill(aNow);
  std::vector<Suspicion> reports;
  if (this->tokens < static_cast<double>(std::min(kBatch, this->queue.size()))) {
    return reports;
  }
  while (!this->queue.empty() && this->tokens >= 1) {
    this->tokens -= 1;
    reports.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  return reports;
}

} // namespace yp
