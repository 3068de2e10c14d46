#include "testing/fault_proxy.hpp"

namespace irismux::test_support {
namespace {

std::size_t index_of(Direction direction) { return static_cast<std::size_t>(direction); }

}  // namespace

FaultProxy::FaultProxy(EventLoop& loop, std::string target) : loop_(loop), target_(std::move(target)) {
    listen("127.0.0.1:0");
}

void FaultProxy::listen(const std::string& address) {
    acceptor_ = std::make_unique<Acceptor>(
        loop_, [this](const Poco::Net::StreamSocket& s) { on_connect(s); }, 64, address);
    address_ = acceptor_->address();
}

void FaultProxy::set_down(bool enabled) {
    if (!enabled) {
        if (!acceptor_) listen(address_);
        return;
    }
    acceptor_.reset();
    reset_all();
}

FaultProxy::~FaultProxy() {
    alive_.reset();
    for (const auto& pair : pairs_)
        for (const auto& end : pair->ends) end->close();
}

void FaultProxy::on_connect(const Poco::Net::StreamSocket& socket) {
    std::erase_if(pairs_, [this](const PairPtr& pair) {
        if (pair->finished) on_connection_closed(pair->number);
        return pair->finished;
    });
    auto pair = std::make_shared<Pair>();
    pair->number = ++last_number_;
    pair->ends = {std::make_shared<TestConnection>(loop_, socket), std::make_shared<TestConnection>(loop_)};
    pairs_.push_back(pair);
    for (const Direction direction : {Direction::to_server, Direction::to_client}) {
        TestConnection& end = *pair->ends[index_of(direction)];
        end.on_received = [this, weak = std::weak_ptr<Pair>(pair), direction](Buffer& in) {
            std::string bytes(in.view());
            in.consume(bytes.size());
            if (const PairPtr locked = weak.lock()) on_received(locked, direction, std::move(bytes));
        };
        end.on_end = [this, weak = std::weak_ptr<Pair>(pair), direction] {
            if (const PairPtr locked = weak.lock()) FaultProxy::on_end_of_stream(locked, direction);
        };
    }
    pair->ends[0]->start();
    if (!pair->ends[1]->start(target_)) reset(pair);
}

void FaultProxy::on_received(const PairPtr& pair, Direction direction, std::string bytes) {
    ++chunk_counts_[index_of(direction)];
    on_chunk(direction, bytes);
    on_connection_chunk(pair->number, direction, bytes);
    if (pair->finished) return;
    Faults& f = faults(direction);
    if (f.reset_after_bytes > 0 && bytes.size() >= f.reset_after_bytes) {
        bytes.resize(std::exchange(f.reset_after_bytes, 0));
        forward(pair, direction, std::move(bytes));
        loop_.schedule_at(loop_.now() + Duration::micros(2000),
                          [this, alive = std::weak_ptr<bool>(alive_), pair] {
                              if (alive.lock()) reset(pair);
                          });
        return;
    }
    if (f.reset_after_bytes > 0) f.reset_after_bytes -= bytes.size();
    if (f.hold)
        pair->held_chunks[index_of(direction)].push_back(std::move(bytes));
    else
        forward(pair, direction, std::move(bytes));
}

void FaultProxy::forward(const PairPtr& pair, Direction direction, std::string bytes) {
    const Faults& f = faults(direction);
    TimePoint& send_time = pair->next_send[index_of(direction)];
    send_time = std::max(send_time, loop_.now() + f.delay);
    if (f.bytes_per_second > 0)
        send_time = send_time + Duration::seconds(static_cast<double>(bytes.size()) /
                                                  static_cast<double>(f.bytes_per_second));
    const auto go = [pair, direction, bytes = std::move(bytes)] {
        TestConnection& to = *pair->ends[1 - index_of(direction)];
        if (to.state() == ConnectionState::closed) return;
        to.output().append(bytes);
        if (to.state() == ConnectionState::open) to.write();
    };
    if (send_time <= loop_.now())
        go();
    else
        loop_.schedule_at(send_time, go);
}

// Forwards the end of a connection, unless the proxy holds this direction back.
void FaultProxy::on_end_of_stream(const PairPtr& pair, Direction direction) {
    pair->ended[index_of(direction)] = true;
    if (faults(direction).hold || pair->finished) return;
    const TimePoint at = std::max(pair->next_send[index_of(direction)], loop_.now() + Duration::micros(1000));
    loop_.schedule_at(at, [pair] {
        pair->finished = true;
        for (const auto& e : pair->ends) e->close();
    });
}

void FaultProxy::reset(const PairPtr& pair) {
    pair->finished = true;
    for (const auto& e : pair->ends) e->reset();
}

void FaultProxy::hold(Direction direction, bool enabled) {
    faults(direction).hold = enabled;
    if (enabled) return;
    for (const PairPtr& pair : pairs_) {
        for (std::string& bytes : std::exchange(pair->held_chunks[index_of(direction)], {}))
            forward(pair, direction, std::move(bytes));
        if (pair->ended[index_of(direction)]) on_end_of_stream(pair, direction);
    }
}

void FaultProxy::set_partitioned(bool enabled) {
    for (const Direction direction : {Direction::to_server, Direction::to_client}) hold(direction, enabled);
}

void FaultProxy::reset_all() {
    for (const PairPtr& pair : std::exchange(pairs_, {})) reset(pair);
}

}  // namespace irismux::test_support
