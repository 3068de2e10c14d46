// What every parser says of the bytes that it was shown.
#pragma once

namespace irismux {

enum class Parsed { more, whole, bad };

}  // namespace irismux
