#ifndef DAISYLANDING_OPERATOR_CONFIGVERB_H
#define DAISYLANDING_OPERATOR_CONFIGVERB_H

#include "node/Ports.h"

#include <string>

/// `config check` of the operator's configuration, before it is sent.
namespace daisylanding::op {

/// Exit codes of the check.
enum class CheckExit : int {
  Ok = 0,
  Warnings = 1,
  Errors = 2 ///< Of the document, or it can't be checked.
};

struct ConfigCheckOptions {
  std::string File;
  /// A file, or an entry's operator API as HOST:PORT; empty for none.
  std::string Against;
  bool PrintJson = false;
};

/// Whether the file holds the operator's configuration rather than settings.
bool isConfigDocument(const std::string &File);

/// Prints what is wrong with the document, and what it changes. Returns the
/// exit code.
int runConfigCheck(const ConfigCheckOptions &Options,
                   const node::DocumentCodec &Codec);

} // namespace daisylanding::op

#endif
