#include "base/file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <iterator>

namespace irismux {
namespace {

// Owns a file descriptor.
class Descriptor {
public:
    explicit Descriptor(int number) : number_(number) {}
    ~Descriptor() {
        if (is_open()) ::close(number_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    bool is_open() const { return number_ >= 0; }
    int number() const { return number_; }

private:
    int number_;
};

}  // namespace

bool FileError::is_transient() const {
    constexpr int transient[] = {EINTR, EAGAIN, EIO, ENFILE, EMFILE, ENOMEM, ENOBUFS};
    return std::find(std::begin(transient), std::end(transient), error_number) != std::end(transient);
}

std::string FileError::message() const { return std::strerror(error_number); }

std::variant<std::string, FileError> read_file(const std::string& path) {
    constexpr std::size_t buffer_bytes = std::size_t{16} * 1024;
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.is_open()) return FileError{errno};
    std::string content;
    std::array<char, buffer_bytes> buffer;
    for (;;) {
        const ssize_t bytes = ::read(file.number(), buffer.data(), buffer.size());
        if (bytes < 0 && errno == EINTR) continue;
        if (bytes < 0) return FileError{errno};
        if (bytes == 0) return content;
        content.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
}

}  // namespace irismux
