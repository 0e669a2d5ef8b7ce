#include "delegation/delegation.h"

namespace yp {

namespace {

constexpr unsigned kBadRequest = 400;

} // namespace

void
ServeParts(IGateway& aGateway, HttpRequest aRequest, HttpRespond aRespond)
{
  const std::shared_ptr<IHttpExchange> exchange = aRequest.exchange;
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(request, DecodePartsRequest(aRequest.body));
      const std::uint64_t handle =
        aGateway.StartParts(std::move(request), [aRespond](const PartsReply& aReply) {
          HttpResponse response;
          response.body = EncodePartsReply(aReply);
          aRespond(std::move(response));
        });
      if (handle != 0) {
        exchange->OnClientGone([&aGateway, handle] { aGateway.Abandon(handle); });
      }
      return {};
    },
    [&aRespond](const Error& aError) {
      LogError("parts_refused", aError);
      HttpResponse refused;
      refused.status = kBadRequest;
      aRespond(std::move(refused));
    });
}

} // namespace yp
