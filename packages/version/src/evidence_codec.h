#ifndef CACTUSSHELF_VERSION_SRC_EVIDENCE_CODEC_H_
#define CACTUSSHELF_VERSION_SRC_EVIDENCE_CODEC_H_

#include <set>
#include <string>
#include <string_view>

#include "cactusshelf/version/retirement.h"
#include "codec.h"

namespace cactusshelf {

// Encode and decode the bytes of evidence that the fold derives. The decoders throw DecodeError.
std::string EncodeScope(const RetirementScope& scope);
RetirementScope DecodeScope(std::string_view bytes);
std::string EncodeScopeChange(const std::set<CellId>& cells);
std::set<CellId> DecodeScopeChange(std::string_view bytes);

// Throws DecodeError for an unknown name.
EvidenceKind ParseEvidenceKind(std::string_view name);

// Returns the chain of an item that follows an item with chain `previous`.
std::string EvidenceChain(std::string_view previous, const Evidence& evidence);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SRC_EVIDENCE_CODEC_H_
