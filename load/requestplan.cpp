#include "load/requestplan.h"

#include "ibismast/core/priorityclass.h"
#include "ibismast/core/seededrandom.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace ibismast::load
{

namespace
{

// Fractions of the prompts up to 100,000 tokens, by class.
constexpr double ShortFraction = 0.70;
constexpr double MediumFraction = 0.22;

constexpr std::int64_t BytesPerToken = 4;

std::int64_t logUniform(std::int64_t low, std::int64_t high, SeededRandom &random)
{
    const double logLow = std::log(static_cast<double>(low));
    const double logHigh = std::log(static_cast<double>(high));
    return std::clamp(std::llround(std::exp(logLow + random.uniform() * (logHigh - logLow))),
                      static_cast<long long>(low),
                      static_cast<long long>(high));
}

std::int64_t drawPromptLength(const LoadSettings &settings, SeededRandom &random)
{
    std::int64_t low = settings.minPrompt;
    std::int64_t high = ShortPromptLimit.value();
    const double classDraw = random.uniform();
    if (random.uniform() < settings.hugeFraction) {
        low = LongPromptLimit.value() + 1;
        high = settings.maxPrompt;
    } else if (classDraw >= ShortFraction + MediumFraction) {
        low = MediumPromptLimit.value() + 1;
        high = LongPromptLimit.value();
    } else if (classDraw >= ShortFraction) {
        low = ShortPromptLimit.value() + 1;
        high = MediumPromptLimit.value();
    }
    low = std::clamp(low, settings.minPrompt, settings.maxPrompt);
    high = std::clamp(high, low, settings.maxPrompt);
    return logUniform(low, high, random);
}

std::size_t drawCustomer(const std::vector<LoadCustomer> &customers, SeededRandom &random)
{
    double total = 0.0;
    for (const LoadCustomer &customer : customers) {
        total += customer.weight;
    }
    double draw = random.uniform() * total;
    for (std::size_t i = 0; i < customers.size(); ++i) {
        draw -= customers[i].weight;
        if (draw < 0.0) {
            return i;
        }
    }
    return customers.size() - 1;
}

/// Appends @p bytes of words that depend on @p seed.
void appendWords(std::string &text, std::size_t bytes, std::uint64_t seed)
{
    static constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz";
    SeededRandom random(seed);
    const std::size_t end = text.size() + bytes;
    text.reserve(end);
    while (text.size() < end) {
        std::uint64_t bits = random.next();
        for (int i = 0; i < 7; ++i) {
            text += Letters[bits % Letters.size()];
            bits /= Letters.size();
        }
        text += ' ';
    }
    text.resize(end);
}

} // namespace

std::vector<PlannedRequest> planRequests(const LoadSettings &settings)
{
    SeededRandom random(settings.seed);
    std::vector<PlannedRequest> plan;
    const double peakBegin = toSeconds(settings.peakStart);
    const double peakEnd = peakBegin + toSeconds(settings.peakLength);
    const double highestRate = settings.rate * std::max(settings.peakFactor, 1.0);
    // Thinning: arrivals at the highest rate, of which the fraction rate(t) / highest is kept.
    double time = 0.0;
    while (true) {
        time -= std::log(1.0 - random.uniform()) / highestRate;
        if (time >= toSeconds(settings.duration)) {
            return plan;
        }
        const bool peak = time >= peakBegin && time < peakEnd;
        const double rate = peak ? settings.rate * settings.peakFactor : settings.rate;
        if (random.uniform() >= rate / highestRate) {
            continue;
        }
        PlannedRequest request;
        request.number = plan.size();
        request.start = fromSeconds(time);
        request.customer = drawCustomer(settings.customers, random);
        request.service = random.uniform() < settings.serviceFraction;
        request.keyed = request.service && random.uniform() < settings.keyFraction;
        const std::int64_t tokens = drawPromptLength(settings, random);
        request.promptTokens = Tokens(tokens);
        if (random.uniform() < settings.sharedPrefixFraction) {
            request.sharedTokens = Tokens(tokens / 2);
        }
        const auto spread = static_cast<std::uint64_t>(settings.maxOutput - settings.minOutput + 1);
        request.maxOutputTokens = Tokens(settings.minOutput + static_cast<std::int64_t>(random.below(spread)));
        request.deadline = settings.deadline + settings.deadlinePerThousand * (tokens / 1'000);
        plan.push_back(request);
    }
}

std::string promptText(const PlannedRequest &request, const LoadSettings &settings)
{
    std::string text;
    text.reserve(static_cast<std::size_t>(request.promptTokens.value() * BytesPerToken));
    appendWords(text,
                static_cast<std::size_t>(request.sharedTokens.value() * BytesPerToken),
                mixBits(settings.seed + request.customer));
    const Tokens rest = request.promptTokens - request.sharedTokens;
    appendWords(text,
                static_cast<std::size_t>(rest.value() * BytesPerToken),
                mixBits(settings.seed ^ mixBits(request.number + 1)));
    return text;
}

} // namespace ibismast::load
