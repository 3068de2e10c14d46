#include "testing/fault_proxy.hpp"

namespace irismux::test_support {
namespace {

std::size_t no(Direction w) { return static_cast<std::size_t>(w); }

}  // namespace

FaultProxy::FaultProxy(EventLoop& loop, std::string to) : loop_(loop), target_(std::move(to)) {
    listen("127.0.0.1:0");
}

void FaultProxy::listen(const std::string& at) {
    acceptor_ = std::make_unique<Acceptor>(
        loop_, [this](const Poco::Net::StreamSocket& s) { on_connect(s); }, 64, at);
    address_ = acceptor_->address();
}

void FaultProxy::set_down(bool is) {
    if (!is) {
        if (!acceptor_) listen(address_);
        return;
    }
    acceptor_.reset();
    reset_all();
}

FaultProxy::~FaultProxy() {
    alive_.reset();
    for (const auto& p : pairs_)
        for (const auto& w : p->ends) w->close();
}

void FaultProxy::on_connect(const Poco::Net::StreamSocket& socket) {
    std::erase_if(pairs_, [this](const PairPtr& p) {
        if (p->finished) on_connection_closed(p->number);
        return p->finished;
    });
    auto p = std::make_shared<Pair>();
    p->number = ++last_number_;
    p->ends = {std::make_shared<TestConnection>(loop_, socket), std::make_shared<TestConnection>(loop_)};
    pairs_.push_back(p);
    for (const Direction w : {Direction::to_server, Direction::to_client}) {
        TestConnection& end = *p->ends[no(w)];
        end.on_received = [this, weak = std::weak_ptr<Pair>(p), w](Buffer& in) {
            std::string bytes(in.view());
            in.consumed(bytes.size());
            if (const PairPtr pair = weak.lock()) on_received(pair, w, std::move(bytes));
        };
        end.on_end = [this, weak = std::weak_ptr<Pair>(p), w] {
            if (const PairPtr pair = weak.lock()) FaultProxy::on_end_of_stream(pair, w);
        };
    }
    p->ends[0]->start();
    if (!p->ends[1]->start(target_)) reset(p);
}

void FaultProxy::on_received(const PairPtr& p, Direction w, std::string bytes) {
    ++chunk_counts_[no(w)];
    on_chunk(w, bytes);
    on_connection_chunk(p->number, w, bytes);
    if (p->finished) return;
    Faults& f = faults(w);
    if (f.reset_after_bytes > 0 && bytes.size() >= f.reset_after_bytes) {
        bytes.resize(std::exchange(f.reset_after_bytes, 0));
        forward(p, w, std::move(bytes));
        loop_.schedule_at(loop_.now() + Duration::micros(2000),
                          [this, alive = std::weak_ptr<bool>(alive_), p] {
                              if (alive.lock()) reset(p);
                          });
        return;
    }
    if (f.reset_after_bytes > 0) f.reset_after_bytes -= bytes.size();
    if (f.hold)
        p->held_chunks[no(w)].push_back(std::move(bytes));
    else
        forward(p, w, std::move(bytes));
}

void FaultProxy::forward(const PairPtr& p, Direction w, std::string bytes) {
    const Faults& f = faults(w);
    TimePoint& free = p->next_send[no(w)];
    free = std::max(free, loop_.now() + f.delay);
    if (f.bytes_per_second > 0)
        free = free +
               Duration::seconds(static_cast<double>(bytes.size()) / static_cast<double>(f.bytes_per_second));
    const auto go = [p, w, bytes = std::move(bytes)] {
        TestConnection& to = *p->ends[1 - no(w)];
        if (to.state() == ConnectionState::closed) return;
        to.output().append(bytes);
        if (to.state() == ConnectionState::open) to.write();
    };
    if (free <= loop_.now())
        go();
    else
        loop_.schedule_at(free, go);
}

// A cut link loses the ends of connections, too.
void FaultProxy::on_end_of_stream(const PairPtr& p, Direction w) {
    p->ended[no(w)] = true;
    if (faults(w).hold || p->finished) return;
    const TimePoint at = std::max(p->next_send[no(w)], loop_.now() + Duration::micros(1000));
    loop_.schedule_at(at, [p] {
        p->finished = true;
        for (const auto& e : p->ends) e->close();
    });
}

void FaultProxy::reset(const PairPtr& p) {
    p->finished = true;
    for (const auto& e : p->ends) e->reset();
}

void FaultProxy::hold(Direction w, bool is) {
    faults(w).hold = is;
    if (is) return;
    for (const PairPtr& p : pairs_) {
        for (std::string& bytes : std::exchange(p->held_chunks[no(w)], {})) forward(p, w, std::move(bytes));
        if (p->ended[no(w)]) on_end_of_stream(p, w);
    }
}

void FaultProxy::set_partitioned(bool is) {
    for (const Direction w : {Direction::to_server, Direction::to_client}) hold(w, is);
}

void FaultProxy::reset_all() {
    for (const PairPtr& p : std::exchange(pairs_, {})) reset(p);
}

}  // namespace irismux::test_support
