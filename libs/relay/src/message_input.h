#pragma once

#include <algorithm>
#include <bit>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string_view>

namespace pollen {

// Reads what cereal's PortableBinaryOutputArchive has written, from bytes that may be hostile. cereal allocates
// whatever number of elements a message claims; this archive accepts no number above that of the bytes that follow.
// Throws cereal::Exception for bytes that are not such a message.
class message_input final : public cereal::InputArchive<message_input, cereal::AllowEmptyClassElision> {
public:
    explicit message_input(std::string_view bytes)
        : InputArchive(this)
        , m_bytes(bytes)
    {
        uint8_t isLittleEndian = 0;
        read(&isLittleEndian, sizeof isLittleEndian, sizeof isLittleEndian);
        m_swapsBytes = (isLittleEndian != 0) != (std::endian::native == std::endian::little);
    }

    size_t bytesLeft() const { return m_bytes.size(); }

    // Copies the next bytes, which hold elements of the same size, into memory of that size.
    void read(void* target, size_t size, size_t elementSize)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("the message ends early");
        std::memcpy(target, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
        if (!m_swapsBytes)
            return;
        auto* bytes = static_cast<char*>(target);
        for (size_t at = 0; at < size; at += elementSize)
            std::reverse(bytes + at, bytes + at + elementSize);
    }

private:
    std::string_view m_bytes;
    bool m_swapsBytes = false;
};

// cereal finds these functions by name.
template <typename T>
requires std::is_arithmetic_v<T>
void load(message_input& archive, T& value) { archive.read(&value, sizeof value, sizeof value); }

template <typename T> void load(message_input& archive, cereal::BinaryData<T>& data)
{
    archive.read(data.data, static_cast<size_t>(data.size), sizeof(std::remove_pointer_t<T>));
}

template <typename T> void serialize(message_input& archive, cereal::NameValuePair<T>& pair) { archive(pair.value); }

template <typename T> void serialize(message_input& archive, cereal::SizeTag<T>& count)
{
    archive(count.size);
    if (count.size > archive.bytesLeft())
        throw cereal::Exception("the message claims more elements than it has bytes");
}

} // namespace pollen
