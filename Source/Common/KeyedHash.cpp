// SPDX-License-Identifier: Apache-2.0
#include "Common/KeyedHash.h"

#include <cstring>
#include <memory>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/sha.h>
#include <stdexcept>

namespace Brassladder::Common {

namespace {

struct FreeContext {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};
using Context = std::unique_ptr<EVP_MAC_CTX, FreeContext>;

// Fetched once, since the lookup takes longer than hashing a small input.
EVP_MAC* sipHash()
{
    static auto* s_algorithm = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    if (!s_algorithm)
        throw std::runtime_error("OpenSSL does not provide SipHash");
    return s_algorithm;
}

void add(EVP_MAC_CTX* context, const void* bytes, size_t size)
{
    EVP_MAC_update(context, static_cast<const unsigned char*>(bytes), size);
}

} // namespace

KeyedHash::KeyedHash(std::string_view secret)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), digest.data());
    std::memcpy(m_key.data(), digest.data(), m_key.size());
}

KeyedHash::Value KeyedHash::compute(std::span<const std::string_view> parts) const
{
    Value value {};
    size_t size = sizeof value;
    std::array<OSSL_PARAM, 2> parameters { OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
        OSSL_PARAM_construct_end() };
    Context context(EVP_MAC_CTX_new(sipHash()));
    EVP_MAC_init(context.get(), m_key.data(), m_key.size(), parameters.data());
    for (auto part : parts) {
        uint64_t length = part.size();
        add(context.get(), &length, sizeof length);
        add(context.get(), part.data(), part.size());
    }
    size_t written = 0;
    EVP_MAC_final(context.get(), reinterpret_cast<unsigned char*>(value.data()), &written, sizeof value);
    return value;
}

} // namespace Brassladder::Common
