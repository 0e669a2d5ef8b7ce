#include "overlay/internal/statetransfer.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::seconds;

// With one body of 1 MB more, a part would pass the limit of a frame; a part ends at this size.
constexpr std::size_t kPartBytes = 512 * 1024;
constexpr std::size_t kHeaderBytes = 128;
constexpr std::size_t kMaxTransferBytes = 64 * 1024 * 1024;
constexpr seconds kSnapshotTime{ 10 };
constexpr seconds kPartTimeout{ 3 };

} // namespace

TransferChunkMessage
TransferSource::Serve(const TransferRequestMessage& aRequest, const ITicketStore& aStore, TimePoint aNow)
{
  const bool continued = this->snapshot && aRequest.completeTo == this->snapshot->completeTo;
  if (!continued) {
    this->snapshot = aStore.Export();
  }
  this->lastUse = aNow;
  TransferChunkMessage chunk;
  chunk.completeTo = this->snapshot->completeTo;
  chunk.after = continued ? aRequest.after : 0;
  auto body = this->snapshot->bodies.upper_bound(chunk.after);
  const auto& deferred = this->snapshot->deferred;
  auto header = std::find_if(deferred.begin(), deferred.end(), [&chunk](const TicketHeader& aHeader) {
    return aHeader.number > chunk.after;
  });
  std::size_t size = 0;
  while (body != this->snapshot->bodies.end() || header != deferred.end()) {
    const bool takeBody =
      header == deferred.end() || (body != this->snapshot->bodies.end() && body->first < header->number);
    const std::size_t next = kHeaderBytes + (takeBody ? body->second.size() : 0);
    if (size != 0 && size + next > kPartBytes) {
      return chunk;
    }
    size += next;
    if (takeBody) {
      chunk.bodies.emplace_back(*body);
      ++body;
    } else {
      chunk.deferred.push_back(*header);
      ++header;
    }
  }
  chunk.last = true;
  return chunk;
}

void
TransferSource::Tick(TimePoint aNow)
{
  if (this->snapshot && aNow - this->lastUse > kSnapshotTime) {
    this->snapshot.reset();
  }
}

void
TransferSink::Reset()
{
  this->link.reset();
  this->transfer = {};
  this->after = 0;
  this->bytes = 0;
  this->complete = false;
}

TransferRequestMessage
TransferSink::Start(LinkId aLink, TimePoint aNow)
{
  this->Reset();
  this->link = aLink;
  this->deadline = aNow + kPartTimeout;
  return {};
}

std::optional<TransferRequestMessage>
TransferSink::Take(LinkId aLink, TransferChunkMessage aChunk, TimePoint aNow)
{
  if (this->link != aLink) {
    return std::nullopt;
  }
  if (aChunk.after == 0 && aChunk.completeTo != this->transfer.completeTo) {
    this->Start(aLink, aNow);
    this->transfer.completeTo = aChunk.completeTo;
  }
  // A duplicate of an earlier part is dropped.
  if (aChunk.completeTo != this->transfer.completeTo || aChunk.after != this->after) {
    return std::nullopt;
  }
  for (auto& body : aChunk.bodies) {
    this->bytes += body.second.size();
    this->after = std::max(this->after, body.first);
    this->transfer.bodies.insert(std::move(body));
  }
  for (TicketHeader& header : aChunk.deferred) {
    this->bytes += kHeaderBytes;
    this->after = std::max(this->after, header.number);
    this->transfer.deferred.push_back(std::move(header));
  }
  this->complete = aChunk.last;
  const bool stuck = !aChunk.last && this->after == aChunk.after;
  if (stuck || this->bytes > kMaxTransferBytes) {
    this->Reset();
    return std::nullopt;
  }
  this->deadline = aNow + kPartTimeout;
  if (this->complete) {
    return std::nullopt;
  }
  return TransferRequestMessage{ this->transfer.completeTo, this->after };
}

std::optional<StateTransfer>
TransferSink::Complete()
{
  if (!this->complete) {
    return std::nullopt;
  }
  std::optional<StateTransfer> result = std::move(this->transfer);
  this->Reset();
  return result;
}

void
TransferSink::Tick(TimePoint aNow)
{
  if (this->link && aNow >= this->deadline) {
    this->Reset();
  }
}

void
TransferSink::DropLink(LinkId aLink)
{
  if (this->link == aLink) {
    this->Reset();
  }
}

} // namespace yp
