#pragma once

#include "marjoramloom/core/enum_names.h"

#include <string_view>

namespace marjoramloom {

/// What an answer that a router read counts as, for the request that it sent last on the connection.
enum class answer_standing {
    own, ///< The server's answer to the request.
    stray, ///< The answer to another request; that to this one may follow.
    unassignable, ///< No id, on a connection that carried other requests: it may belong to one of them.
    unproven, ///< A success without the seal of a server: nothing shows that a server ran the request.
};

template<>
struct enum_names<answer_standing>
{
    static constexpr std::array table{
        enum_name<answer_standing>{ answer_standing::own, "own" },
        enum_name<answer_standing>{ answer_standing::stray, "an answer to another request" },
        enum_name<answer_standing>{ answer_standing::unassignable,
                                    "an answer without a request id on a reused connection" },
        enum_name<answer_standing>{ answer_standing::unproven, "a success without a seal" },
    };
};

/// The parts of an answer's head that show whose answer it is.
struct answer_marks
{
    unsigned status = 0;
    std::string_view requestId; ///< Id of the request that it belongs to; empty if it has none.
    bool sealed = false; ///< It carries the server's seal.
};

/// Decides whether an answer is the server's answer to a request.
///
/// An address of the list may belong to a process that is no backend server, which answers any request with 200. Such
/// an answer must not become a success. Errors need no seal: intermediaries and servers that start send them, too.
/// Thread safe.
class answer_proof
{
public:
    /// \p requestId is that of the request. Precondition: what it refers to outlives the object.
    answer_proof(std::string_view requestId, bool onReusedConnection);

    /// What the answer \p answer counts as. Precondition: its status is a final one, 200 or more.
    [[nodiscard]] auto judge(const answer_marks &answer) const -> answer_standing;

private:
    std::string_view m_requestId;
    bool m_onReusedConnection;
};

} // namespace marjoramloom
