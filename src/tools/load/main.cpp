// Load against running daemons: open-loop arrivals of returning chats, lookups, payments, bookings and
// drafts. At the end the answers are compared with the services' ledgers; a broken promise ends it with exit
// code 1.

#include "loadoptions.h"
#include "loadreport.h"
#include "loadrun.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <sstream>

DEFINE_string(nodes, "127.0.0.1:8081,127.0.0.1:8082,127.0.0.1:8083", "callers' addresses of the daemons");
DEFINE_string(ledgers, "127.0.0.1:9211", "addresses that answer GET /ledger; empty: no comparison");
DEFINE_string(key, "sample-counter-app-key", "the calling team's key");
DEFINE_string(model, "thesis-large", "the model that chats ask for");
DEFINE_string(lookup_path, "/press/status", "GET, idempotent");
DEFINE_string(payment_path, "/press/payments", "POST with an Idempotency-Key");
DEFINE_string(booking_path, "/press/payments/booking", "POST with an Idempotency-Key");
DEFINE_double(rate, 20, "requests a second");
DEFINE_double(seconds, 10, "time in which requests arrive");
DEFINE_double(chats, 0.5, "share of chats");
DEFINE_double(lookups, 0.25, "share of lookups");
DEFINE_double(payments, 0.1, "share of payments");
DEFINE_double(bookings, 0.1, "share of bookings");
DEFINE_double(drafts, 0.05, "share of drafts, answered later");
DEFINE_double(draft_timeout, 60, "seconds in which an accepted draft must be answered");
DEFINE_double(repeats, 0.3, "share of payments and bookings sent again to another node");
DEFINE_uint32(returning, 50, "chats that return");
DEFINE_uint32(tokens, 16, "tokens of each answer");
DEFINE_uint32(max_in_flight, 500, "more arrivals are counted and not sent");
DEFINE_double(timeout, 30, "seconds for one call");
DEFINE_uint32(seed, 1, "of the arrivals and the mix");
DEFINE_bool(json, false, "print JSON in place of tables");
DEFINE_string(report, "", "directory for an HTML page with plots");

namespace {

constexpr int exitBroken = 1;
constexpr int exitUsage = 2;
constexpr int exitNothingWhole = 3;

std::vector<std::string> splitCommas(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

load::load_options optionsFromFlags()
{
    load::load_options options;
    options.nodes = splitCommas(FLAGS_nodes);
    options.ledgers = splitCommas(FLAGS_ledgers);
    options.apiKey = FLAGS_key;
    options.model = FLAGS_model;
    options.lookupPath = FLAGS_lookup_path;
    options.paymentPath = FLAGS_payment_path;
    options.bookingPath = FLAGS_booking_path;
    options.rate = FLAGS_rate;
    options.seconds = FLAGS_seconds;
    options.mix = { FLAGS_chats, FLAGS_lookups, FLAGS_payments, FLAGS_bookings, FLAGS_drafts };
    options.draftTimeout = FLAGS_draft_timeout;
    options.repeats = FLAGS_repeats;
    options.chats = FLAGS_returning;
    options.tokens = FLAGS_tokens;
    options.maxInFlight = FLAGS_max_in_flight;
    options.timeout = FLAGS_timeout;
    options.seed = FLAGS_seed;
    return options;
}

bool isUsable(const load::load_options& options)
{
    double sum = 0;
    for (const double share : options.mix)
        sum += share;
    return !options.nodes.empty() && options.rate > 0 && options.seconds > 0 && options.chats > 0 && sum > 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sends load to running daemons and checks the promises");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const load::load_options options = optionsFromFlags();
    if (!isUsable(options)) {
        std::cerr << "lycheefront-load: nodes, rate, seconds, returning and one share must be above zero\n";
        return exitUsage;
    }
    const load::load_result result = load::runLoad(options);
    load::printResult(result, FLAGS_json);
    if (!FLAGS_report.empty() && !load::writeReport(result, FLAGS_report)) {
        std::cerr << "lycheefront-load: cannot write the report to " << FLAGS_report << "\n";
        return exitUsage;
    }
    if (!result.broken.empty())
        return exitBroken;
    if (!options.ledgers.empty() && !result.counts) {
        std::cerr << "lycheefront-load: a ledger could not be read, so payments were not compared\n";
        return exitBroken;
    }
    const bool hasWhole = std::ranges::any_of(
        result.records, [](const load::call_record& record) { return record.end == load::call_end::Whole; });
    return hasWhole ? 0 : exitNothingWhole;
}
