#include <medlarrack/core/digest.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <cstdlib>

namespace medlarrack::core {

sha256_digest sha256(std::string_view text)
{
    sha256_digest digest{};
    if (EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1) {
        // Without SHA-256 no key can be verified.
        std::abort();
    }
    return digest;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool equalInConstantTime(const sha256_digest &left, const sha256_digest &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace medlarrack::core
