#include "base/file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>

namespace irismux {
namespace {

// Closes what it holds.
class Descriptor {
public:
    explicit Descriptor(int number) : number_(number) {}
    ~Descriptor() {
        if (number_ >= 0) ::close(number_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int number() const { return number_; }

private:
    int number_;
};

}  // namespace

bool FileError::passes() const {
    constexpr int passing[] = {EINTR, EAGAIN, EIO, ENFILE, EMFILE, ENOMEM, ENOBUFS};
    return std::find(std::begin(passing), std::end(passing), number) != std::end(passing);
}

std::string FileError::text() const { return std::strerror(number); }

std::variant<std::string, FileError> read_file(const std::string& path) {
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.number() < 0) return FileError{errno};
    std::string text;
    char some[16 * 1024];
    for (;;) {
        const ssize_t n = ::read(file.number(), some, sizeof some);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return FileError{errno};
        if (n == 0) return text;
        text.append(some, static_cast<std::size_t>(n));
    }
}

}  // namespace irismux
