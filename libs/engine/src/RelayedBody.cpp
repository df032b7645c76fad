#include <engine/RelayedBody.h>

#include <cassert>
#include <zlib.h>

namespace sapphirewind::engine {

namespace {

/// zlib's largest window, with a gzip header and trailer.
constexpr int kGzipWindowBits = MAX_WBITS + 16;
/// The fastest level already brings most of the gain on JSON.
constexpr int kLevel = Z_BEST_SPEED;
constexpr int kDefaultMemoryLevel = 8;
constexpr size_t kInflateStepBytes = 256 * 1024;
/// Limit on a body, so that few bytes cannot fill the memory: several versions of the largest
/// configuration.
constexpr size_t kMaxTextBytes = 16 * 1024 * 1024;

Bytef*
AsBytes(const std::string& aText)
{
  // zlib's interface predates const; it does not write to its input.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aText.data()));
}

std::string
Compress(const std::string& aText)
{
  z_stream stream{};
  int started = deflateInit2(
    &stream, kLevel, Z_DEFLATED, kGzipWindowBits, kDefaultMemoryLevel, Z_DEFAULT_STRATEGY);
  assert(started == Z_OK && "zlib has no memory or another version than its header");
  std::string bytes(deflateBound(&stream, aText.size()), '\0');
  stream.next_in = AsBytes(aText);
  stream.avail_in = static_cast<uInt>(aText.size());
  stream.next_out = AsBytes(bytes);
  stream.avail_out = static_cast<uInt>(bytes.size());
  int ended = deflate(&stream, Z_FINISH);
  assert(ended == Z_STREAM_END && "the output has the size that deflateBound requires");
  bytes.resize(stream.total_out);
  deflateEnd(&stream);
  static_cast<void>(started);
  static_cast<void>(ended);
  return bytes;
}

std::optional<std::string>
Decompress(const std::string& aBytes)
{
  z_stream stream{};
  if (inflateInit2(&stream, kGzipWindowBits) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = AsBytes(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string text;
  int status = Z_OK;
  while (status == Z_OK && text.size() < kMaxTextBytes) {
    size_t before = text.size();
    text.resize(before + kInflateStepBytes);
    stream.next_out = AsBytes(text) + before;
    stream.avail_out = static_cast<uInt>(kInflateStepBytes);
    status = inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  return status == Z_STREAM_END ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace

RelayedBody::RelayedBody(std::string aText)
  : text(std::move(aText))
{
}

std::shared_ptr<const RelayedBody>
RelayedBody::FromCompressed(std::string aBytes)
{
  std::optional<std::string> text = Decompress(aBytes);
  if (!text) {
    return nullptr;
  }
  auto body = std::make_shared<RelayedBody>(std::move(*text));
  body->compressed = std::move(aBytes);
  return body;
}

const std::string*
RelayedBody::Compressed() const
{
  if (this->text.size() < kMinCompressedBytes) {
    return nullptr;
  }
  if (!this->compressed) {
    this->compressed = Compress(this->text);
  }
  return &*this->compressed;
}

} // namespace sapphirewind::engine
