#include "overlay/internal/listinglog.h"
#include "overlay/internal/pullqueue.h"
#include "overlay/internal/reportqueue.h"
#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace yp {
} // namespace yp
