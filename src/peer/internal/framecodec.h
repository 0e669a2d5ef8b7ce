#ifndef YP_PEER_INTERNAL_FRAMECODEC_H
#define YP_PEER_INTERNAL_FRAMECODEC_H

#include "overlay/ipeernetwork.h"
#include <string>
#include <string_view>

namespace yp {

/// \return the CBOR map {"t": type, "p": payload as a byte string}
std::string
EncodeFrame(const PeerFrame& aFrame);

/// Decodes what EncodeFrame writes.
/// \param aMaxBytes largest encoded frame
/// \return the frame; kBadInput for anything else
Result<PeerFrame>
DecodeFrame(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace yp

#endif
