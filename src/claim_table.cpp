#include "claim_table.hpp"

#include <boost/container_hash/hash.hpp>
#include <boost/json.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace briarhub
{
namespace
{

namespace json = boost::json;

constexpr unsigned record_format = 1;

// JSON text must be UTF-8, but headers and bodies may hold any bytes. A value
// with a byte that JSON cannot hold, or would escape to more than two bytes, is
// encoded as base64.

bool is_json_safe(char byte)
{
    return (byte >= ' ' && byte <= '~') || byte == '\n' || byte == '\r' ||
           byte == '\t';
}

json::value encode_bytes(std::string const& bytes)
{
    if (std::all_of(bytes.begin(), bytes.end(), is_json_safe))
    {
        return json::value(bytes);
    }
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int const size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return json::object{{"base64", text}};
}

std::optional<std::string> decode_base64(std::string_view text)
{
    std::string bytes(3 * (text.size() / 4) + 1, '\0');
    int const size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<unsigned char const*>(text.data()),
        static_cast<int>(text.size()));
    if (size < 0)
    {
        return std::nullopt;
    }
    // EVP_DecodeBlock includes the padding in the size that it returns.
    auto const end = text.find_last_not_of('=');
    std::size_t const padding =
        end == std::string_view::npos ? 0 : text.size() - end - 1;
    if (padding > static_cast<std::size_t>(size))
    {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

/// Reads members of a JSON object. `valid` is false once a member was missing
/// or of the wrong type.
class object_reader
{
public:
    explicit object_reader(json::object const& object) : m_object(object)
    {
    }

    std::string text(std::string_view name)
    {
        json::value const* const value = m_object.if_contains(name);
        json::string const* const found =
            value == nullptr ? nullptr : value->if_string();
        m_valid = m_valid && found != nullptr;
        return found == nullptr ? std::string{} : std::string{*found};
    }

    std::uint64_t number(std::string_view name)
    {
        json::value const* const value = m_object.if_contains(name);
        boost::system::error_code error;
        std::uint64_t const found =
            value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
        m_valid = m_valid && value != nullptr && !error;
        return found;
    }

    bool flag(std::string_view name)
    {
        json::value const* const value = m_object.if_contains(name);
        bool const* const found = value == nullptr ? nullptr : value->if_bool();
        m_valid = m_valid && found != nullptr;
        return found != nullptr && *found;
    }

    std::string bytes(std::string_view name)
    {
        json::value const* const value = m_object.if_contains(name);
        return value == nullptr ? invalid() : decode(*value);
    }

    std::string decode(json::value const& value)
    {
        if (value.is_string())
        {
            return std::string{value.get_string()};
        }
        json::object const* const object = value.if_object();
        json::value const* const text =
            object == nullptr ? nullptr : object->if_contains("base64");
        if (text == nullptr || !text->is_string())
        {
            return invalid();
        }
        auto decoded = decode_base64(text->get_string());
        return decoded ? std::move(*decoded) : invalid();
    }

    json::array const& array(std::string_view name)
    {
        static json::array const empty;
        json::value const* const value = m_object.if_contains(name);
        json::array const* const found =
            value == nullptr ? nullptr : value->if_array();
        m_valid = m_valid && found != nullptr;
        return found == nullptr ? empty : *found;
    }

    std::string invalid()
    {
        m_valid = false;
        return {};
    }

    [[nodiscard]] bool valid() const
    {
        return m_valid;
    }

private:
    json::object const& m_object;
    bool m_valid = true;
};

json::object
common_fields(std::string_view kind, claim_name const& name, claim_id const& id)
{
    return {
        {"kind", kind},
        {"account", name.m_account},
        {"key", name.m_idempotency_key},
        {"vm", id.m_vm},
        {"incarnation", id.m_incarnation},
        {"sequence", id.m_sequence}};
}

json::object to_json(claim const& entry)
{
    auto object = common_fields("claim", entry.m_name, entry.m_claim_id);
    object["digest"] = entry.m_request_digest;
    return object;
}

json::object to_json(claim_outcome const& entry)
{
    auto object = common_fields("outcome", entry.m_name, entry.m_claim_id);
    object["known"] = entry.m_known;
    object["status"] = entry.m_http_status;
    json::array headers;
    for (auto const& [name, value] : entry.m_headers)
    {
        headers.push_back(json::array{encode_bytes(name), encode_bytes(value)});
    }
    object["headers"] = std::move(headers);
    object["body"] = encode_bytes(entry.m_body);
    object["body_length"] = entry.m_body_length;
    object["body_stored"] = entry.m_body_stored;
    return object;
}

json::object to_json(claim_release const& entry)
{
    return common_fields("release", entry.m_name, entry.m_claim_id);
}

void read_headers(object_reader& reader, claim_outcome& outcome)
{
    for (json::value const& value : reader.array("headers"))
    {
        json::array const* const pair = value.if_array();
        if (pair == nullptr || pair->size() != 2)
        {
            reader.invalid();
            return;
        }
        auto name = reader.decode((*pair)[0]);
        auto content = reader.decode((*pair)[1]);
        outcome.m_headers.emplace_back(std::move(name), std::move(content));
    }
}

claim_outcome read_outcome(object_reader& reader, claim_name name, claim_id id)
{
    claim_outcome outcome;
    outcome.m_name = std::move(name);
    outcome.m_claim_id = std::move(id);
    outcome.m_known = reader.flag("known");
    outcome.m_http_status = static_cast<unsigned>(reader.number("status"));
    read_headers(reader, outcome);
    outcome.m_body = reader.bytes("body");
    outcome.m_body_length = reader.number("body_length");
    outcome.m_body_stored = reader.flag("body_stored");
    return outcome;
}

std::optional<claim_entry> read_entry(json::value const& value)
{
    json::object const* const object = value.if_object();
    if (object == nullptr)
    {
        return std::nullopt;
    }
    object_reader reader{*object};
    std::string const kind = reader.text("kind");
    claim_name name{reader.text("account"), reader.text("key")};
    claim_id id{
        reader.text("vm"),
        reader.number("incarnation"),
        reader.number("sequence")};
    std::optional<claim_entry> entry;
    if (kind == "claim")
    {
        entry = claim{std::move(name), std::move(id), reader.text("digest")};
    }
    else if (kind == "outcome")
    {
        entry = read_outcome(reader, std::move(name), std::move(id));
    }
    else if (kind == "release")
    {
        entry = claim_release{std::move(name), std::move(id)};
    }
    return reader.valid() ? std::move(entry) : std::nullopt;
}

constexpr std::string_view hex_digits = "0123456789abcdef";

template <std::size_t Size>
std::optional<std::array<unsigned char, Size>> from_hex(std::string_view text)
{
    if (text.size() != 2 * Size)
    {
        return std::nullopt;
    }
    std::array<unsigned char, Size> bytes{};
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        std::size_t const value = hex_digits.find(text[i]);
        if (value == std::string_view::npos)
        {
            return std::nullopt;
        }
        unsigned const shift = i % 2 == 0 ? 4 : 0;
        bytes[i / 2] |= static_cast<unsigned char>(value << shift);
    }
    return bytes;
}

template <std::size_t Size>
std::string to_hex(std::array<unsigned char, Size> const& bytes)
{
    std::string text;
    text.reserve(2 * Size);
    for (unsigned char const byte : bytes)
    {
        text.push_back(hex_digits[byte >> 4U]);
        text.push_back(hex_digits[byte & 15U]);
    }
    return text;
}

} // namespace

std::string to_record(std::span<claim_entry const> entries)
{
    json::array items;
    for (claim_entry const& entry : entries)
    {
        items.push_back(std::visit(
            [](auto const& value)
            {
                return to_json(value);
            },
            entry));
    }
    return json::serialize(
        json::object{{"format", record_format}, {"entries", std::move(items)}});
}

std::optional<std::vector<claim_entry>>
parse_claims_record(std::string_view text)
{
    boost::system::error_code error;
    json::value const value = json::parse(text, error);
    json::object const* const object = value.if_object();
    if (error || object == nullptr)
    {
        return std::nullopt;
    }
    object_reader reader{*object};
    bool const known = reader.number("format") == record_format;
    json::array const& items = reader.array("entries");
    if (!known || !reader.valid())
    {
        return std::nullopt;
    }
    std::vector<claim_entry> entries;
    entries.reserve(items.size());
    for (json::value const& item : items)
    {
        auto entry = read_entry(item);
        if (!entry)
        {
            return std::nullopt;
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

std::size_t
claim_table::name_hash::operator()(compact_name const& name) const noexcept
{
    std::size_t seed = name.m_account;
    boost::hash_range(seed, name.m_uuid.begin(), name.m_uuid.end());
    return seed;
}

void claim_table::fold(log_record const& record)
{
    if (record.m_offset < m_next_offset)
    {
        return;
    }
    if (record.m_offset > m_next_offset)
    {
        reset_claims(record.m_appended_at);
    }
    m_next_offset = record.m_offset + 1;
    auto entries = parse_claims_record(record.m_data);
    if (!entries)
    {
        return;
    }
    for (claim_entry& entry : *entries)
    {
        std::visit(
            [&](auto& value)
            {
                fold_entry(record, value);
            },
            entry);
    }
}

void claim_table::fold_entry(log_record const& record, claim const& entry)
{
    auto const uuid = parse_uuid_v7(entry.m_name.m_idempotency_key);
    auto const digest = from_hex<32>(entry.m_request_digest);
    if (!uuid || !digest ||
        uuid_time(*uuid) > record.m_appended_at + max_key_lead)
    {
        return;
    }
    compact_name const key{*uuid, intern_account(entry.m_name.m_account)};
    auto const [found, added] = m_stored_claims.try_emplace(key);
    stored_claim& stored = found->second;
    if (!added && !stored.m_released)
    {
        return;
    }
    stored.m_digest = *digest;
    stored.m_offset = record.m_offset;
    stored.m_claimed_at = record.m_appended_at;
    stored.m_sequence = entry.m_claim_id.m_sequence;
    stored.m_log_order = m_first_log_order + m_log_order.size();
    stored.m_owner = intern_owner(entry.m_claim_id);
    stored.m_state = claim_state::running;
    stored.m_released = false;
    m_log_order.push_back({record.m_offset, &*found});
    ++m_held_count;
}

/// A known outcome may replace an unknown one. A known outcome is final, since
/// a caller may have received the stored response.
void claim_table::fold_entry(log_record const& /*record*/, claim_outcome& entry)
{
    stored_claim* const stored =
        find_held_claim(entry.m_name, entry.m_claim_id);
    if (stored == nullptr || stored->m_state == claim_state::finished)
    {
        return;
    }
    if (!entry.m_known)
    {
        stored->m_state = claim_state::in_doubt;
        return;
    }
    stored->m_state = claim_state::finished;
    stored->m_outcome = std::make_unique<claim_outcome>(std::move(entry));
    stored->m_outcome->m_name = {};
    stored->m_outcome->m_claim_id = {};
}

/// A claim with an outcome, known or unknown, may have run and cannot be
/// released.
void claim_table::fold_entry(
    log_record const& /*record*/, claim_release const& entry)
{
    stored_claim* const stored =
        find_held_claim(entry.m_name, entry.m_claim_id);
    if (stored == nullptr || stored->m_state != claim_state::running)
    {
        return;
    }
    stored->m_released = true;
    --m_held_count;
}

void claim_table::reset_claims(wall_time since)
{
    m_stored_claims.clear();
    m_log_order.clear();
    m_first_log_order = 0;
    m_held_count = 0;
    set_covered_since(since);
}

void claim_table::set_covered_since(wall_time since)
{
    m_is_untrimmed = since == wall_time{};
    m_covered_since = since + max_key_lead;
}

wall_time claim_table::covered_since() const
{
    return m_covered_since;
}

log_offset claim_table::next_offset() const
{
    return m_next_offset;
}

bool claim_table::needs_heartbeat() const
{
    bool const is_known = m_covered_since != wall_time::max();
    return is_known && m_next_offset == 0 && !m_is_untrimmed;
}

std::optional<claim_view> claim_table::find(claim_name const& name) const
{
    auto const key = find_key(name);
    if (!key)
    {
        return std::nullopt;
    }
    auto const found = m_stored_claims.find(*key);
    if (found == m_stored_claims.end() || found->second.m_released)
    {
        return std::nullopt;
    }
    return to_view(*found);
}

std::vector<claim_view> claim_table::unresolved() const
{
    std::vector<claim_view> views;
    for (std::size_t i = 0; i < m_log_order.size(); ++i)
    {
        auto const& stored = *m_log_order[i].m_stored_claim;
        if (holds_name(i) && stored.second.m_state != claim_state::finished)
        {
            views.push_back(to_view(stored));
        }
    }
    return views;
}

std::vector<claim_view>
claim_table::running_claims(member const& owner, log_offset from) const
{
    std::vector<claim_view> views;
    auto const index = m_owner_index.find({owner.m_vm, owner.m_incarnation});
    if (index == m_owner_index.end())
    {
        return views;
    }
    auto const start = std::lower_bound(
        m_log_order.begin(),
        m_log_order.end(),
        from,
        [](log_position const& element, log_offset offset)
        {
            return element.m_offset < offset;
        });
    auto position = static_cast<std::size_t>(start - m_log_order.begin());
    for (; position < m_log_order.size(); ++position)
    {
        auto const& stored = *m_log_order[position].m_stored_claim;
        if (holds_name(position) && stored.second.m_owner == index->second &&
            stored.second.m_state == claim_state::running)
        {
            views.push_back(to_view(stored));
        }
    }
    return views;
}

void claim_table::expire(wall_time horizon)
{
    m_covered_since = std::max(m_covered_since, horizon + max_key_lead);
    while (!m_log_order.empty())
    {
        stored_claim const& oldest = m_log_order.front().m_stored_claim->second;
        bool const replaced = oldest.m_log_order != m_first_log_order;
        if (!replaced && oldest.m_claimed_at >= horizon)
        {
            return;
        }
        evict_oldest();
    }
}

void claim_table::evict_oldest()
{
    auto& [key, stored] = *m_log_order.front().m_stored_claim;
    if (stored.m_log_order == m_first_log_order)
    {
        m_held_count -= stored.m_released ? 0 : 1;
        compact_name const copy = key;
        m_stored_claims.erase(copy);
    }
    m_log_order.pop_front();
    ++m_first_log_order;
}

std::size_t claim_table::size() const
{
    return m_held_count;
}

std::optional<claim_table::compact_name>
claim_table::find_key(claim_name const& name) const
{
    auto const uuid = parse_uuid_v7(name.m_idempotency_key);
    auto const account = m_account_index.find(name.m_account);
    if (!uuid || account == m_account_index.end())
    {
        return std::nullopt;
    }
    return compact_name{*uuid, account->second};
}

claim_table::interned_index
claim_table::intern_account(account_name const& account)
{
    auto const next = static_cast<interned_index>(m_accounts.size());
    auto const [found, added] = m_account_index.try_emplace(account, next);
    if (added)
    {
        m_accounts.push_back(&found->first);
    }
    return found->second;
}

claim_table::interned_index claim_table::intern_owner(claim_id const& id)
{
    auto const next = static_cast<interned_index>(m_owners.size());
    auto const [found, added] =
        m_owner_index.try_emplace({id.m_vm, id.m_incarnation}, next);
    if (added)
    {
        m_owners.push_back(&found->first);
    }
    return found->second;
}

bool claim_table::has_id(stored_claim const& stored, claim_id const& id) const
{
    auto const& [vm, vm_incarnation] = *m_owners[stored.m_owner];
    return stored.m_sequence == id.m_sequence &&
           vm_incarnation == id.m_incarnation && vm == id.m_vm;
}

/// The claim with this id, or null if it does not hold its name. The sequence
/// number must match, so that a late or repeated release or outcome does not
/// affect a later claim of the same VM.
claim_table::stored_claim*
claim_table::find_held_claim(claim_name const& name, claim_id const& id)
{
    auto const key = find_key(name);
    auto const found = key ? m_stored_claims.find(*key) : m_stored_claims.end();
    if (found == m_stored_claims.end() || found->second.m_released ||
        !has_id(found->second, id))
    {
        return nullptr;
    }
    return &found->second;
}

/// True if the claim at this position in log order holds its name.
bool claim_table::holds_name(std::size_t position) const
{
    stored_claim const& stored = m_log_order[position].m_stored_claim->second;
    return stored.m_log_order == m_first_log_order + position &&
           !stored.m_released;
}

claim_view claim_table::to_view(stored_claims::value_type const& item) const
{
    auto const& [key, stored] = item;
    auto const& [vm, vm_incarnation] = *m_owners[stored.m_owner];
    claim_view view;
    view.m_claim.m_name = {*m_accounts[key.m_account], to_text(key.m_uuid)};
    view.m_claim.m_claim_id = {vm, vm_incarnation, stored.m_sequence};
    view.m_claim.m_request_digest = to_hex(stored.m_digest);
    view.m_offset = stored.m_offset;
    view.m_claimed_at = stored.m_claimed_at;
    view.m_state = stored.m_state;
    if (stored.m_outcome)
    {
        view.m_outcome = *stored.m_outcome;
        view.m_outcome->m_name = view.m_claim.m_name;
        view.m_outcome->m_claim_id = view.m_claim.m_claim_id;
    }
    return view;
}

} // namespace briarhub
