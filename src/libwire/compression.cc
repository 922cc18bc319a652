#include "compression.h"

#include <glog/logging.h>
#include <zstd.h>

#include <memory>

namespace ryefold::wire {
namespace {

/// Fast, and within a tenth of the size that higher levels reach on JSON.
constexpr int kLevel = 3;

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

}  // namespace

std::string Compress(std::string_view text, std::string_view base) {
  // Made for each use: a context holds a megabyte, and changes are seldom.
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!base.empty()) {
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string data(ZSTD_compressBound(text.size()), '\0');
  const size_t size = ZSTD_compress2(context.get(), data.data(), data.size(),
                                     text.data(), text.size());
  CHECK(!ZSTD_isError(size)) << ZSTD_getErrorName(size);
  data.resize(size);
  return data;
}

std::optional<std::string> Decompress(std::string_view data,
                                      std::string_view base, size_t most) {
  const unsigned long long size =  // NOLINT(google-runtime-int): zstd's type
      ZSTD_getFrameContentSize(data.data(), data.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > most) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  if (!base.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string text(size, '\0');
  const size_t got = ZSTD_decompressDCtx(context.get(), text.data(),
                                         text.size(), data.data(), data.size());
  if (ZSTD_isError(got) || got != text.size()) return std::nullopt;
  return text;
}

}  // namespace ryefold::wire
