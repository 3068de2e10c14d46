// The result of a parser.
#pragma once

namespace irismux {

enum class ParseStatus {
    incomplete,  ///< more bytes are needed
    complete,
    invalid  ///< further bytes can't make the input valid
};

}  // namespace irismux
