// SPDX-License-Identifier: Apache-2.0
#include "cli/completion.h"

namespace badgerbridge::cli {

// clang-format off
const char kBashCompletion[] =
    R"bash(# bash completion for badgerbridge-ctl; source it, or put it where bash-completion looks
_badgerbridge_ctl() {
  local cur="${COMP_WORDS[COMP_CWORD]}" command="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
      status|get|start|stop|drain|undrain|reload|roll|apply|diff|orders|logs|watch|members|relays|zones|check|completion)
        command="$word"; break ;;
    esac
  done
  if [[ "$cur" == -* ]]; then
    COMPREPLY=($(compgen -W "--context --socket --output --timeout --help --label --agent --state --all --deadline
      --force-after --supersede --against --dry-run --no-wait --at-most --id --as --lines --every --count --operator
      --etcd --address --zone --kind --group --weight --since --ttl --drain-for --for --force" -- "$cur"))
    return
  fi
  case "$command" in
    "") COMPREPLY=($(compgen -W "status get start stop drain undrain reload roll apply diff orders logs watch members
          relays zones check completion" -- "$cur")) ;;
    zones) COMPREPLY=($(compgen -W "evacuate return history" -- "$cur")) ;;
    apply|diff|check|relays) COMPREPLY=($(compgen -f -- "$cur")) ;;
    completion) COMPREPLY=($(compgen -W "bash" -- "$cur")) ;;
    *) COMPREPLY=($(compgen -W "$(badgerbridge-ctl status -o names --timeout 1s 2>/dev/null)" -- "$cur")) ;;
  esac
}
complete -F _badgerbridge_ctl badgerbridge-ctl badgerctl
)bash";
// clang-format on

}  // namespace badgerbridge::cli
