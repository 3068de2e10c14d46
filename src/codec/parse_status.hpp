// The result of every parser.
#pragma once

namespace irismux {

enum class ParseStatus {
    incomplete,  ///< more bytes are needed
    complete,
    invalid  ///< no more bytes can make it valid
};

}  // namespace irismux
