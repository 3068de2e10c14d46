// Tests the embedded store when it is full and when its file is truncated.
#include "store/store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

namespace irismux {
namespace {

// A write of a value that is larger than the store must fail without losing the former value, which must
// still be there after the store is opened again.
TEST(Store, AFullStoreRefusesTheWriteAndKeepsTheFormerValue) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("irismux_store." + std::to_string(::getpid()));
    {
        auto opened = Store::open(folder.string(), 1 << 20);
        ASSERT_TRUE(std::holds_alternative<Store>(opened)) << std::get<StoreError>(opened).detail;
        Store& store = std::get<Store>(opened);
        EXPECT_FALSE(store.read("list"));
        EXPECT_TRUE(std::holds_alternative<Store::Written>(store.write("list", "one")));
        EXPECT_TRUE(std::holds_alternative<Store::Written>(store.write("list", std::string(100'000, 'x'))));
        const auto refused = store.write("list", std::string(2 << 20, 'y'));
        ASSERT_TRUE(std::holds_alternative<StoreError>(refused));
        EXPECT_EQ(std::get<StoreError>(refused).code, StoreError::Code::write_failed);
        EXPECT_EQ(store.read("list"), std::string(100'000, 'x'))
            << "the failed write has changed the former value";
    }
    auto reopened = Store::open(folder.string(), 1 << 20);
    EXPECT_EQ(std::get<Store>(reopened).read("list"), std::string(100'000, 'x'));
    std::filesystem::remove_all(folder);
    EXPECT_TRUE(std::holds_alternative<StoreError>(Store::open("/proc/nowhere", 1 << 20)));
}

// A store whose file was truncated must be rejected when it is opened, since reading the missing pages would
// end the process. The file must not be changed.
TEST(Store, ATruncatedFileIsRefusedAndNotChanged) {
    namespace fs = std::filesystem;
    std::string folder = (fs::temp_directory_path() / "irismux-store-XXXXXX").string();
    ASSERT_TRUE(::mkdtemp(folder.data()));
    {
        auto opened = Store::open(folder, 1 << 20);
        ASSERT_TRUE(std::holds_alternative<Store>(opened));
        for (const char* name : {"a", "b", "c"})
            EXPECT_TRUE(std::holds_alternative<Store::Written>(
                std::get<Store>(opened).write(name, std::string(50'000, 'x'))));
    }
    const std::uintmax_t whole = fs::file_size(folder + "/data.mdb");
    for (const std::uintmax_t size : {whole - 1, whole / 2, std::uintmax_t{8192}}) {
        fs::resize_file(folder + "/data.mdb", size);
        const auto reopened = Store::open(folder, 1 << 20);
        ASSERT_TRUE(std::holds_alternative<StoreError>(reopened)) << size;
        EXPECT_EQ(std::get<StoreError>(reopened).code, StoreError::Code::truncated);
        EXPECT_EQ(fs::file_size(folder + "/data.mdb"), size);
    }
    fs::remove_all(folder);
}

}  // namespace
}  // namespace irismux
