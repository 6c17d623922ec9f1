// Writes this build's bytes of each sample as FOLDER/NAME.hex. Compiled against the tree of the build whose
// bytes are wanted; tests/layouts/README.md has the command.
#include <cstdio>
#include <fstream>
#include <string>

#include "layouts/samples.h"
#include "wire/codec.h"

#if __has_include("turn_ledger/frames/frame_codec.h")
#include "turn_ledger/frames/frame_codec.h"
#endif

namespace
{

void write(const std::string& path, const std::string& bytes)
{
    std::ofstream file(path);
    for (unsigned char byte : bytes)
    {
        char text[3];
        std::snprintf(text, sizeof(text), "%02x", byte);
        file << text;
    }
    file << "\n";
}

}  // namespace

int main(int count, char** arguments)
{
    const std::string first = count > 1 ? arguments[1] : "";
    bool marked = first == "--marked";
    if (count != (marked ? 3 : 2))
    {
        std::fprintf(stderr, "usage: write_samples [--marked] FOLDER\n");
        return 2;
    }
    const std::string folder = marked ? arguments[2] : first;
#if __has_include("turn_ledger/frames/frame_codec.h")
    if (marked)
    {
        martenyard::layouts::visit_ledger_frames(
            [&](const std::string& name, const martenyard::turn_ledger::Envelope& message)
            {
                auto layout = martenyard::wire::kNewestLayout;
                write(folder + "/" + name + ".hex", *martenyard::turn_ledger::encode_frame(message, layout));
            });
        return 0;
    }
#endif
    martenyard::layouts::visit_all(
        [&](const std::string& name, const auto& message)
        {
            write(folder + "/" + name + ".hex", martenyard::wire::Encode(message));
        });
    return 0;
}
