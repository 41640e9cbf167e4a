#include <cicadalug/routing/slot_ledger.hpp>

#include <algorithm>
#include <bit>

namespace cicadalug {

namespace {

[[nodiscard]] auto bit_of(const slot_key key) noexcept -> slot_mask
{
    return slot_mask{1} << key.m_slot;
}

[[nodiscard]] auto find_slot(const slot_ledger& ledger, const slot_id& id) -> std::optional<slot_key>
{
    const auto found = ledger.m_indices.find(id.m_vm);
    if (found == ledger.m_indices.end() || id.m_slot >= max_slots) {
        return std::nullopt;
    }
    return slot_key{found->second, id.m_slot};
}

[[nodiscard]] auto is_new_request(slot_ledger& ledger, const slot_request& request) -> bool
{
    auto& last = ledger.m_last_requests[request.m_from];
    if (request.m_incarnation < last.m_incarnation ||
        (request.m_incarnation == last.m_incarnation && request.m_sequence <= last.m_sequence)) {
        return false;
    }
    last = {request.m_incarnation, request.m_sequence};
    return true;
}

} // namespace

auto intern_upstream(slot_ledger& ledger, const vm_id& vm) -> upstream_index
{
    const auto [place, added] = ledger.m_indices.try_emplace(vm, static_cast<upstream_index>(ledger.m_slots.size()));
    if (added) {
        ledger.m_slots.emplace_back();
        ledger.m_vms.push_back(vm);
    }
    return place->second;
}

auto acquire_slot(slot_ledger& ledger, const upstream_index upstream, const time_point hold_until)
    -> std::optional<std::uint8_t>
{
    auto& slots = ledger.m_slots[upstream];
    const auto own = slots.m_owned & ~slots.m_lent & ~slots.m_busy;
    if (own != 0) {
        slots.m_busy |= own & (~own + 1);
        return static_cast<std::uint8_t>(std::countr_zero(own));
    }
    for (auto rest = slots.m_borrowed & ~slots.m_busy; rest != 0; rest &= rest - 1) {
        const slot_key key{upstream, static_cast<std::uint8_t>(std::countr_zero(rest))};
        const auto loan = ledger.m_borrowed.find(key);
        if (loan != ledger.m_borrowed.end() && hold_until <= loan->second.m_until) {
            slots.m_busy |= bit_of(key);
            return key.m_slot;
        }
    }
    return std::nullopt;
}

auto mark_slot_free(slot_ledger& ledger, const slot_key key) noexcept -> void
{
    ledger.m_slots[key.m_upstream].m_busy &= ~bit_of(key);
}

auto make_slot_request(slot_ledger& ledger, const entry_vm_id& lender, const pool_id& pool, const std::uint32_t count,
                       const milliseconds term, const time_point now) -> slot_request
{
    std::erase_if(ledger.m_pending_loans, [now](const auto& entry) { return entry.second.m_until <= now; });
    const auto sequence = ++ledger.m_last_sequence;
    ledger.m_pending_loans[sequence] = {lender, now + term};
    return {ledger.m_self, ledger.m_incarnation, sequence, pool, count, static_cast<std::uint32_t>(term.count()),
            false};
}

auto lend_slots(slot_ledger& ledger, const slot_request& request, const std::vector<upstream_index>& upstreams,
                const std::uint32_t limit, const time_point now) -> std::optional<slot_grant>
{
    if (!is_new_request(ledger, request)) {
        return std::nullopt;
    }
    const auto count = std::min({request.m_count, limit, max_slots_per_grant});
    const auto until = now + milliseconds{request.m_term_ms} + loan_margin;
    slot_grant grant{ledger.m_self, ledger.m_incarnation, request.m_incarnation, request.m_sequence, {}};
    for (const auto upstream : upstreams) {
        auto& slots = ledger.m_slots[upstream];
        for (auto rest = slots.m_owned & ~slots.m_lent & ~slots.m_busy & ~slots.m_borrowed;
             rest != 0 && grant.m_slots.size() < count; rest &= rest - 1) {
            const slot_key key{upstream, static_cast<std::uint8_t>(std::countr_zero(rest))};
            slots.m_lent |= bit_of(key);
            ledger.m_lent[key] = {request.m_from, request.m_incarnation, request.m_sequence, until};
            grant.m_slots.push_back({ledger.m_vms[upstream], key.m_slot});
        }
    }
    return grant.m_slots.empty() ? std::nullopt : std::optional{std::move(grant)};
}

auto accept_grant(slot_ledger& ledger, const slot_grant& grant, const time_point now) -> std::vector<slot_key>
{
    const auto pending = ledger.m_pending_loans.find(grant.m_sequence);
    if (grant.m_incarnation != ledger.m_incarnation || pending == ledger.m_pending_loans.end() ||
        pending->second.m_lender != grant.m_from) {
        return {};
    }
    const auto until = pending->second.m_until;
    ledger.m_pending_loans.erase(pending);
    std::vector<slot_key> accepted;
    if (until <= now) {
        return accepted;
    }
    for (const auto& id : grant.m_slots) {
        if (const auto key = find_slot(ledger, id)) {
            ledger.m_borrowed[*key] = {grant.m_from, grant.m_lender_incarnation, grant.m_sequence, until};
            ledger.m_slots[key->m_upstream].m_borrowed |= bit_of(*key);
            accepted.push_back(*key);
        }
    }
    return accepted;
}

auto return_borrowed_slot(slot_ledger& ledger, const slot_key key) -> slot_return
{
    const auto loan = ledger.m_borrowed.find(key);
    slot_return message{ledger.m_self, ledger.m_incarnation, loan->second.m_sequence, {}};
    message.m_slots.push_back({ledger.m_vms[key.m_upstream], key.m_slot});
    ledger.m_slots[key.m_upstream].m_borrowed &= ~bit_of(key);
    ledger.m_borrowed.erase(loan);
    return message;
}

auto reclaim_slots(slot_ledger& ledger, const slot_return& message) -> std::vector<slot_key>
{
    std::vector<slot_key> returned;
    for (const auto& id : message.m_slots) {
        const auto key = find_slot(ledger, id);
        const auto loan = key ? ledger.m_lent.find(*key) : ledger.m_lent.end();
        if (loan != ledger.m_lent.end() && loan->second.m_borrower == message.m_from &&
            loan->second.m_incarnation == message.m_incarnation && loan->second.m_sequence == message.m_sequence) {
            ledger.m_slots[key->m_upstream].m_lent &= ~bit_of(*key);
            ledger.m_lent.erase(loan);
            returned.push_back(*key);
        }
    }
    return returned;
}

auto expire_loans(slot_ledger& ledger, const time_point now) -> std::vector<slot_key>
{
    std::vector<slot_key> changed;
    std::erase_if(ledger.m_lent, [&](const auto& entry) {
        if (now < entry.second.m_until) {
            return false;
        }
        ledger.m_slots[entry.first.m_upstream].m_lent &= ~bit_of(entry.first);
        changed.push_back(entry.first);
        return true;
    });
    std::erase_if(ledger.m_borrowed, [&](const auto& entry) {
        if (now < entry.second.m_until) {
            return false;
        }
        ledger.m_slots[entry.first.m_upstream].m_borrowed &= ~bit_of(entry.first);
        changed.push_back(entry.first);
        return true;
    });
    return changed;
}

auto drop_orphaned_loans(slot_ledger& ledger, const std::unordered_map<entry_vm_id, incarnation>& live)
    -> std::vector<slot_key>
{
    std::vector<slot_key> changed;
    std::erase_if(ledger.m_borrowed, [&](const auto& entry) {
        const auto lender = live.find(entry.second.m_lender);
        if (lender != live.end() && lender->second == entry.second.m_lender_incarnation) {
            return false;
        }
        ledger.m_slots[entry.first.m_upstream].m_borrowed &= ~bit_of(entry.first);
        changed.push_back(entry.first);
        return true;
    });
    return changed;
}

} // namespace cicadalug
