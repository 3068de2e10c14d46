#include "testing/fault_proxy.hpp"

namespace irismux::stand_ins {
namespace {

std::size_t no(Direction w) { return static_cast<std::size_t>(w); }

}  // namespace

FaultProxy::FaultProxy(EventLoop& loop, std::string to) : loop_(loop), to_(std::move(to)) {
    listen("127.0.0.1:0");
}

void FaultProxy::listen(const std::string& at) {
    acceptor_ = std::make_unique<Acceptor>(
        loop_, [this](const Poco::Net::StreamSocket& s) { taken(s); }, 64, at);
    address_ = acceptor_->address();
}

void FaultProxy::down(bool is) {
    if (!is) {
        if (!acceptor_) listen(address_);
        return;
    }
    acceptor_.reset();
    break_all();
}

FaultProxy::~FaultProxy() {
    alive_.reset();
    for (const auto& p : pairs_)
        for (const auto& w : p->ends) w->close();
}

void FaultProxy::taken(const Poco::Net::StreamSocket& socket) {
    std::erase_if(pairs_, [this](const PairPtr& p) {
        if (p->over) closed(p->number);
        return p->over;
    });
    auto p = std::make_shared<Pair>();
    p->number = ++last_number_;
    p->ends = {std::make_shared<StandInConnection>(loop_, socket),
               std::make_shared<StandInConnection>(loop_)};
    pairs_.push_back(p);
    for (const Direction w : {Direction::to_server, Direction::to_client}) {
        StandInConnection& end = *p->ends[no(w)];
        end.got = [this, weak = std::weak_ptr<Pair>(p), w](Buffer& in) {
            std::string bytes(in.view());
            in.consume(bytes.size());
            if (const PairPtr pair = weak.lock()) on_accepted(pair, w, std::move(bytes));
        };
        end.ended = [this, weak = std::weak_ptr<Pair>(p), w] {
            if (const PairPtr pair = weak.lock()) FaultProxy::end(pair, w);
        };
    }
    p->ends[0]->start();
    if (!p->ends[1]->start(to_)) reset(p);
}

void FaultProxy::on_accepted(const PairPtr& p, Direction w, std::string bytes) {
    ++pieces_[no(w)];
    seen(w, bytes);
    seen_on(p->number, w, bytes);
    if (p->over) return;
    Faults& f = faults(w);
    if (f.reset_in > 0 && bytes.size() >= f.reset_in) {
        bytes.resize(std::exchange(f.reset_in, 0));
        pass(p, w, std::move(bytes));
        loop_.schedule_at(loop_.now() + Duration::micros(2000),
                          [this, alive = std::weak_ptr<bool>(alive_), p] {
                              if (alive.lock()) reset(p);
                          });
        return;
    }
    if (f.reset_in > 0) f.reset_in -= bytes.size();
    if (f.hold)
        p->held[no(w)].push_back(std::move(bytes));
    else
        pass(p, w, std::move(bytes));
}

void FaultProxy::pass(const PairPtr& p, Direction w, std::string bytes) {
    const Faults& f = faults(w);
    TimePoint& free = p->free[no(w)];
    free = std::max(free, loop_.now() + f.delay);
    if (f.bytes_a_second > 0)
        free = free +
               Duration::seconds(static_cast<double>(bytes.size()) / static_cast<double>(f.bytes_a_second));
    const auto go = [p, w, bytes = std::move(bytes)] {
        StandInConnection& to = *p->ends[1 - no(w)];
        if (to.state() == ConnectionState::closed) return;
        to.out().append(bytes);
        if (to.state() == ConnectionState::open) to.write();
    };
    if (free <= loop_.now())
        go();
    else
        loop_.schedule_at(free, go);
}

// A cut link loses the ends of connections, too.
void FaultProxy::end(const PairPtr& p, Direction w) {
    p->ended[no(w)] = true;
    if (faults(w).hold || p->over) return;
    const TimePoint at = std::max(p->free[no(w)], loop_.now() + Duration::micros(1000));
    loop_.schedule_at(at, [p] {
        p->over = true;
        for (const auto& e : p->ends) e->close();
    });
}

void FaultProxy::reset(const PairPtr& p) {
    p->over = true;
    for (const auto& e : p->ends) e->reset();
}

void FaultProxy::hold(Direction w, bool is) {
    faults(w).hold = is;
    if (is) return;
    for (const PairPtr& p : pairs_) {
        for (std::string& bytes : std::exchange(p->held[no(w)], {})) pass(p, w, std::move(bytes));
        if (p->ended[no(w)]) end(p, w);
    }
}

void FaultProxy::cut(bool is) {
    for (const Direction w : {Direction::to_server, Direction::to_client}) hold(w, is);
}

void FaultProxy::break_all() {
    for (const PairPtr& p : std::exchange(pairs_, {})) reset(p);
}

}  // namespace irismux::stand_ins
