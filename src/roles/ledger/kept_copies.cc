#include "roles/ledger/kept_copies.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "roles/directory_keys.h"
#include "storage/small_file.h"
#include "wire/sealed.h"

namespace martenyard::roles
{

using event_log::Line;

namespace
{

constexpr std::uint32_t file_format = 1;

/// the copies' names in files and log lines, in the order of aggregation::mirror_revisions
constexpr std::array<const char*, aggregation::mirror_count> copy_names{"configuration", "runners",
                                                                        "ledger_directory", "aggregators"};

/// @brief a copy as its file has it
struct written_copy
{
    std::uint32_t m_format = file_format;
    std::string m_prefix;
    store::mirror_delta m_items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_format, m_prefix, m_items);
    }
};

void ignore_change(const store::StoreChange& /*change*/)
{
}
void ignore_contact(bool /*reachable*/, store::StoreStatus /*status*/)
{
}

}  // namespace

kept_copies::kept_copies(async_http::asio::io_context& context, const RoleSettings& settings,
                         const PlatformFormats& formats, store::MetadataStore& store,
                         wire::Transport& transport, store::PrefixMirror& directory,
                         std::function<turn_ledger::Machine()> self, event_log::EventLog& log,
                         const kept_copies_options& options)
    : m_settings(settings),
      m_transport(transport),
      m_log(log),
      m_options(options),
      m_configuration(context, store, formats.ConfigurationKey(), ignore_change, ignore_contact),
      m_runners(context, store, formats.RunnersPrefix(), ignore_change, ignore_contact),
      m_aggregators(context, store, kAggregators, ignore_change, ignore_contact),
      m_copies{&m_configuration, &m_runners, &directory, &m_aggregators},
      m_sender(transport, m_copies, std::move(self))
{
}

void kept_copies::start()
{
    for (std::size_t copy = 0; copy < m_copies.size(); ++copy)
    {
        read(copy);
    }
}

std::string kept_copies::path(std::size_t copy) const
{
    return absl::StrCat(m_settings.data_folder, "/copy-", copy_names[copy]);
}

void kept_copies::read(std::size_t copy)
{
    std::optional<std::string> bytes = storage::ReadSmallFile(path(copy));
    if (!bytes)
    {
        return;  // The first start on this disk.
    }
    auto written = wire::Unseal<written_copy>(*bytes);
    bool usable =
        written && written->m_format == file_format && written->m_prefix == m_copies[copy]->prefix();
    if (!usable)
    {
        m_log.Write(Line("kept_copy_unreadable")
                        .Text("copy", copy_names[copy])
                        .Number("bytes", static_cast<std::int64_t>(bytes->size())));
        return;
    }
    m_copies[copy]->TakeDelta(written->m_items);
    m_upkeep[copy].m_written = m_copies[copy]->last_change();
    m_log.Write(Line("kept_copy_read")
                    .Text("copy", copy_names[copy])
                    .Number("items", static_cast<std::int64_t>(written->m_items.m_items.size()))
                    .Number("revision", static_cast<std::int64_t>(written->m_items.m_last_change)));
}

void kept_copies::write(instant now, std::size_t copy)
{
    const store::PrefixMirror& known = *m_copies[copy];
    std::string bytes = wire::Seal(written_copy{file_format, known.prefix(), known.ChangesSince(0)});
    std::chrono::milliseconds pace(1000 * bytes.size() / m_options.m_written_bytes_per_second);
    upkeep& state = m_upkeep[copy];
    state.m_next_write = now + std::max(m_options.m_write_pause, pace);
    std::string failure = storage::ReplaceFile(path(copy), bytes);
    if (!failure.empty())
    {
        m_log.Write(Line("kept_copy_unsaved").Text("copy", copy_names[copy]).Text("detail", failure));
        return;  // Tried again after the pause.
    }
    state.m_written = known.last_change();
}

void kept_copies::tick()
{
    instant now = SteadyInstant();
    for (std::size_t copy = 0; copy < m_copies.size(); ++copy)
    {
        bool changed = m_copies[copy]->last_change() != m_upkeep[copy].m_written;
        if (changed && now >= m_upkeep[copy].m_next_write)
        {
            write(now, copy);
            return;
        }
    }
}

void kept_copies::on_datagram(const std::string& payload)
{
    auto message = wire::Decode<aggregation::datagram>(payload);
    if (!message)
    {
        m_log.Write(Line("datagram_unreadable").Number("bytes", static_cast<std::int64_t>(payload.size())));
        return;
    }
    std::visit(
        [&](const auto& told)
        {
            take(SteadyInstant(), told);
        },
        *message);
}

void kept_copies::take(instant now, const aggregation::digest& told)
{
    for (std::size_t copy = 0; copy < m_copies.size(); ++copy)
    {
        std::uint64_t known = m_copies[copy]->last_change();
        std::optional<instant>& asked = m_upkeep[copy].m_asked;
        bool just_asked = asked && now - *asked < m_options.m_ask_again;
        if (told.m_revisions[copy] <= known || just_asked)
        {
            continue;
        }
        asked = now;
        store::news_request request{static_cast<std::uint8_t>(copy), known, m_settings.address,
                                    m_settings.internal_port};
        m_transport.SendDatagram(told.m_from.m_endpoint, wire::Encode(aggregation::datagram(request)));
    }
}

void kept_copies::take(instant /*now*/, const store::news_request& request)
{
    bool knows_any = request.m_mirror < m_copies.size() && m_copies[request.m_mirror]->last_change() > 0;
    if (knows_any)  // If not, the asker tries another one.
    {
        m_sender.send({request.m_address, request.m_port}, request.m_mirror, request.m_last_change);
    }
}

void kept_copies::on_news(const store::news_reply& reply)
{
    if (reply.m_mirror >= m_copies.size())
    {
        m_log.Write(Line("news_unreadable").Number("mirror", reply.m_mirror));
        return;
    }
    m_upkeep[reply.m_mirror].m_asked.reset();
    m_copies[reply.m_mirror]->TakeDelta(reply.m_delta);
}

}  // namespace martenyard::roles
