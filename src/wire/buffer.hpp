// Bytes of one connection: grows as it needs, is compacted in place, gives memory back when it runs empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <string_view>
#include <vector>

namespace irismux {

class Buffer {
public:
    std::string_view view() const { return {store_.data() + head_, tail_ - head_}; }
    bool empty() const { return head_ == tail_; }
    std::size_t size() const { return tail_ - head_; }

    // Room for so many more bytes behind what is held.
    char* room(std::size_t n) {
        if (store_.size() - tail_ >= n) return store_.data() + tail_;
        if (head_ > 0) {
            std::memmove(store_.data(), store_.data() + head_, size());
            tail_ -= head_;
            head_ = 0;
        }
        if (store_.size() - tail_ < n) store_.resize(std::max(tail_ + n, store_.size() * 2));
        return store_.data() + tail_;
    }
    std::size_t free_room() const { return store_.size() - tail_; }
    void filled(std::size_t n) { tail_ += n; }

    void append(std::string_view bytes) {
        if (bytes.empty()) return;
        std::memcpy(room(bytes.size()), bytes.data(), bytes.size());
        filled(bytes.size());
    }
    // Takes back the last bytes appended.
    void cut(std::size_t n) { tail_ -= n; }
    void taken(std::size_t n) {
        head_ += n;
        if (head_ < tail_) return;
        head_ = tail_ = 0;
        if (store_.size() > kept) std::vector<char>{}.swap(store_);
    }

private:
    static constexpr std::size_t kept = 16 * 1024;  // an idle connection holds no more
    std::vector<char> store_;
    std::size_t head_ = 0, tail_ = 0;
};

}  // namespace irismux
