// What every parser says of the bytes that it was shown.
#pragma once

namespace irismux {

enum class ParseStatus { incomplete, complete, invalid };

}  // namespace irismux
