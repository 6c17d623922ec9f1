#include "process/crash_reporter.h"

#include <cxxabi.h>
#include <dlfcn.h>
#include <execinfo.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <climits>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <typeinfo>

#include "absl/strings/string_view.h"

namespace martenyard::process
{

namespace
{

using event_log::Line;

/// Signals whose default action ends the process and that no operator sends. SIGSYS is left alone: seccomp
/// filters use it.
constexpr std::array fatal_signals{SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV, SIGXCPU};
constexpr std::size_t max_frames = 32;
/// Enough for the handler and `backtrace` after a stack overflow.
constexpr std::size_t alternate_stack_bytes = std::size_t{64} << 10;

/// @brief text of limited size; async-signal-safe
class fixed_text
{
  public:
    void append(absl::string_view text)
    {
        std::size_t count = std::min(text.size(), m_bytes.size() - m_size);
        std::memcpy(m_bytes.data() + m_size, text.data(), count);
        m_size += count;
    }

    /// @brief appends the text of a JSON string
    void append_escaped(absl::string_view text)
    {
        for (char byte : text)
        {
            auto code = static_cast<unsigned char>(byte);
            bool plain = code >= 0x20 && code < 0x7F && byte != '"' && byte != '\\';
            append(plain ? absl::string_view(&byte, 1) : "?");
        }
    }

    void append_number(std::uint64_t value, unsigned base = 10)
    {
        std::array<char, 20> digits{};
        std::size_t first = digits.size();
        do
        {
            digits[--first] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value > 0);
        append({digits.data() + first, digits.size() - first});
    }

    absl::string_view view() const
    {
        return {m_bytes.data(), m_size};
    }

  private:
    /// A pipe accepts this many bytes without blocking once it is writable.
    std::array<char, PIPE_BUF> m_bytes{};
    std::size_t m_size = 0;
};

void write_without_blocking(int file, absl::string_view bytes)
{
    pollfd query{file, POLLOUT, 0};
    if (poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0)
    {
        [[maybe_unused]] ssize_t count = write(file, bytes.data(), bytes.size());
    }
}

/// @brief appends the calling thread's stack as MODULE+OFFSET, the innermost frame first
void append_stack(fixed_text& text)
{
    std::array<void*, max_frames> frames{};
    int count = backtrace(frames.data(), static_cast<int>(frames.size()));
    for (int index = 0; index < count; ++index)
    {
        Dl_info module{};
        auto address = reinterpret_cast<std::uintptr_t>(frames[index]);
        text.append(index == 0 ? "" : " ");
        if (dladdr(frames[index], &module) != 0 && module.dli_fname != nullptr)
        {
            absl::string_view path(module.dli_fname);
            text.append_escaped(path.substr(path.rfind('/') + 1));
            address -= reinterpret_cast<std::uintptr_t>(module.dli_fbase);
        }
        text.append("+0x");
        text.append_number(address, 16);
    }
}

}  // namespace

struct crash_reporter::state
{
    int m_file = -1;
    pid_t m_main_thread = gettid();
    /// The line's part that names the event.
    std::string m_event = Line("process_crashed").body();
    const event_log::EventLog* m_log = nullptr;
    std::array<char, alternate_stack_bytes> m_stack{};
    std::terminate_handler m_previous_handler = nullptr;
};

namespace
{

std::atomic<const crash_reporter::state*> active_state{nullptr};
std::atomic_flag reported;

/// @brief writes the line once per process; async-signal-safe
void report(absl::string_view reason, absl::string_view detail)
{
    const crash_reporter::state* state = active_state;
    if (state == nullptr || reported.test_and_set())
    {
        return;
    }
    std::uint64_t sequence = 1;
    absl::string_view node;
    bool main_thread = gettid() == state->m_main_thread;
    if (state->m_log != nullptr)
    {
        if (main_thread)
        {
            state->m_log->WriteBuffered();  // Another thread would read it while it changes.
        }
        sequence = state->m_log->sequence() + 1;
        node = state->m_log->node();
    }
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    constexpr std::uint64_t micros_per_second = 1000000;
    constexpr std::uint64_t nanos_per_micro = 1000;
    fixed_text line;
    line.append("{\"time_us\":");
    line.append_number(static_cast<std::uint64_t>(now.tv_sec) * micros_per_second +
                       static_cast<std::uint64_t>(now.tv_nsec) / nanos_per_micro);
    line.append(",\"sequence\":");
    line.append_number(sequence);
    line.append(",\"node\":\"");
    line.append_escaped(node);
    line.append("\",");
    line.append(state->m_event);
    line.append(",\"reason\":\"");
    line.append(reason);
    line.append("\",\"detail\":\"");
    line.append_escaped(detail);
    line.append("\",\"main_thread\":");
    line.append(main_thread ? "true" : "false");
    line.append(",\"stack\":\"");
    append_stack(line);
    line.append("\"}\n");
    write_without_blocking(state->m_file, line.view());
}

void on_signal(int signal, siginfo_t* info, void* /*context*/)
{
    int saved_errno = errno;
    fixed_text detail;
    detail.append("signal ");
    detail.append_number(static_cast<std::uint64_t>(signal));
    detail.append(" at 0x");
    detail.append_number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    report("signal", detail.view());
    errno = saved_errno;
    raise(signal);  // Its default action: the handler was reset when it was called.
}

/// @brief appends the type and text of the exception in flight
void append_exception(const std::exception_ptr& error, fixed_text& text)
{
    const std::type_info* type = abi::__cxa_current_exception_type();
    int status = 0;
    char* readable = type == nullptr ? nullptr : abi::__cxa_demangle(type->name(), nullptr, nullptr, &status);
    if (type != nullptr)
    {
        text.append(readable != nullptr ? readable : type->name());
    }
    std::free(readable);
    try
    {
        std::rethrow_exception(error);
    }
    catch (const std::exception& known)
    {
        text.append(": ");
        text.append(known.what());
    }
    catch (...)
    {
        text.append(" (not a std::exception)");
    }
}

[[noreturn]] void on_terminate()
{
    if (std::exception_ptr error = std::current_exception())
    {
        fixed_text detail;
        append_exception(error, detail);
        report("uncaught exception", detail.view());
    }
    else
    {
        report("terminate", "std::terminate was called without an exception");
    }
    std::abort();
}

}  // namespace

crash_reporter::crash_reporter(int file) : m_state(std::make_unique<state>())
{
    m_state->m_file = file;
    // The first call loads a library, which is not async-signal-safe.
    std::array<void*, 1> frame{};
    backtrace(frame.data(), static_cast<int>(frame.size()));
    active_state = m_state.get();
    m_state->m_previous_handler = std::set_terminate(on_terminate);
    stack_t stack{};
    stack.ss_sp = m_state->m_stack.data();
    stack.ss_size = m_state->m_stack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_sigaction = on_signal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    sigemptyset(&action.sa_mask);
    for (int signal : fatal_signals)
    {
        sigaction(signal, &action, nullptr);
    }
}

crash_reporter::~crash_reporter()
{
    for (int signal : fatal_signals)
    {
        std::signal(signal, SIG_DFL);
    }
    stack_t stack{};
    stack.ss_flags = SS_DISABLE;
    sigaltstack(&stack, nullptr);
    std::set_terminate(m_state->m_previous_handler);
    active_state = nullptr;
}

void crash_reporter::set_log(const event_log::EventLog& log)
{
    m_state->m_log = &log;
}

}  // namespace martenyard::process
