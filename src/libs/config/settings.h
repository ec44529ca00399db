#pragma once

#include "problem.h"

#include "utils/eventlog.h"
#include "utils/ids.h"
#include "utils/time.h"

#include <optional>
#include <string>
#include <vector>

namespace config {

/// Certificate and key that a listener shows, as PEM files.
struct tls_files {
    std::string certificate;
    std::string key;
};

/// What one caller may send, and how slowly.
struct caller_limits {
    unsigned headerBytes = 16 * 1024;
    unsigned bodyBytes = 8 * 1024 * 1024;
    utils::duration headerTimeout = std::chrono::seconds(10); ///< for the whole header
    utils::duration bodyTimeout = std::chrono::seconds(60); ///< for the whole body
    utils::duration idle = std::chrono::seconds(75); ///< between two requests of a connection
};

/// Where callers come in.
struct callers_settings {
    std::string address;
    std::optional<tls_files> tls;
    caller_limits limits;
};

/// Where operators come in.
struct operators_settings {
    std::string address;
    /// SHA-256 of the key that may apply the first document; void once the document has operators.
    std::string firstKeyHash;
};

/// A VM of the fleet, as the settings list it.
struct seed_settings {
    utils::node_id id;
    std::string address; ///< of its peers listener
    utils::data_centre_id dataCentre;
};

/// The talk between the daemons.
struct peers_settings {
    std::string address; ///< for UDP and TCP
    std::string keyFile;
    std::string previousKeyFile; ///< still accepted while the key is being changed; empty: none
    std::vector<seed_settings> seeds;
    std::string vmList; ///< URL of the platform's VM list; empty: the seeds are the list
};

/// The platform's key-value service.
struct platform_settings {
    std::vector<std::string> endpoints;
    utils::duration timeout = std::chrono::seconds(2);
    std::string prefix = "/lycheefront/"; ///< every key of the fleet starts with it
};

struct log_settings {
    utils::log_format format = utils::log_format::Text;
    utils::severity level = utils::severity::Info;
};

/// Settings of one daemon process. Secrets stand in files of their own, never here.
struct settings {
    utils::node_id node;
    utils::data_centre_id dataCentre;
    std::string region;
    callers_settings callers;
    operators_settings operators;
    peers_settings peers;
    platform_settings platform;
    log_settings log;
    std::string tracesFile; ///< spans as OTLP/JSON lines; empty: no traces
    std::string charts; ///< folder of the state charts
    utils::duration shutdownGrace = std::chrono::seconds(30);
};

/// Settings and all that is wrong with them.
struct parsed_settings {
    settings value;
    std::vector<problem> problems;
};

/// Reads settings; every problem is listed with its place. Never throws on any text. Thread safe.
parsed_settings parseSettings(const std::string& yaml, const std::string& file);
/// Reads a file, then as parseSettings; a file that cannot be read is a problem too. Thread safe.
parsed_settings loadSettings(const std::string& path);

} // namespace config
