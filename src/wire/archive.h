// Cereal archives in memory, in the format of cereal's portable binary archive.
//
// The reader checks each length against the remaining bytes before allocating, so that a malformed
// message can't use more memory than its size. Cereal's own archives allocate any length that
// they read.
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <type_traits>

#include "absl/strings/string_view.h"
#include "wire/layout.h"

namespace martenyard::wire {

static_assert(std::endian::native == std::endian::little,
              "numbers are encoded in native byte order, which must be little-endian");

/// First byte of a message, the byte order: 1 is little-endian.
inline constexpr std::uint8_t kLittleEndian = 1;

/// Appends messages to a string.
class StringOutputArchive
    : public cereal::OutputArchive<StringOutputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit StringOutputArchive(std::string& bytes, Layout layout = kUnmarkedLayout)
      : cereal::OutputArchive<StringOutputArchive, cereal::AllowEmptyClassElision>(this),
        bytes_(bytes),
        layout_(layout) {
    bytes_.push_back(static_cast<char>(kLittleEndian));
  }

  void Save(const void* data, std::size_t size) {
    bytes_.append(static_cast<const char*>(data), size);
  }

  Layout layout() const { return layout_; }

 private:
  std::string& bytes_;
  Layout layout_;
};

/// Reads messages from bytes that must outlive it. Throws cereal::Exception if they are truncated
/// or contain a length beyond their end.
class BytesInputArchive
    : public cereal::InputArchive<BytesInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BytesInputArchive(absl::string_view bytes, Layout layout = kUnmarkedLayout)
      : cereal::InputArchive<BytesInputArchive, cereal::AllowEmptyClassElision>(this),
        unread_(bytes),
        layout_(layout) {
    std::uint8_t order = 0;
    Load(&order, sizeof(order));
    if (order != kLittleEndian) {
      throw cereal::Exception("unsupported byte order in message");
    }
  }

  void Load(void* data, std::size_t size) {
    CheckHolds(size);
    std::memcpy(data, unread_.data(), size);
    unread_.remove_prefix(size);
  }

  /// Throws if fewer than `elements` bytes remain; each element takes at least one.
  void CheckHolds(std::uint64_t elements) const {
    if (elements > unread_.size()) {
      throw cereal::Exception("length exceeds the end of the message");
    }
  }

  bool AtEnd() const { return unread_.empty(); }
  Layout layout() const { return layout_; }

 private:
  absl::string_view unread_;
  Layout layout_;
};

// ---- Functions that cereal requires of an archive and finds by name ----

template <typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive, const Number& number) {
  archive.Save(&number, sizeof(number));
}

template <typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(BytesInputArchive& archive, Number& number) {
  archive.Load(&number, sizeof(number));
}

template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(StringOutputArchive& archive,
                                    cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BytesInputArchive& archive,
                                    cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(StringOutputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
}

template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(BytesInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  archive.CheckHolds(tag.size);
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive,
                               const cereal::BinaryData<Value>& data) {
  archive.Save(data.data, static_cast<std::size_t>(data.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BytesInputArchive& archive, cereal::BinaryData<Value>& data) {
  archive.Load(data.data, static_cast<std::size_t>(data.size));
}

}  // namespace martenyard::wire

CEREAL_REGISTER_ARCHIVE(martenyard::wire::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE(martenyard::wire::BytesInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(martenyard::wire::BytesInputArchive,
                            martenyard::wire::StringOutputArchive)
