#pragma once

/// @file
/// @brief Announcements of upstreams as JSON.

#include <cowslipdoor/core/Announcement.h>
#include <string>
#include <string_view>

namespace cowslipdoor::runtime {

/// @brief Reads an announcement.
/// @param text the JSON body that an upstream posted
/// @return the announcement
/// @throws Error with ErrorKind::BadRequest that names the field and what is accepted
[[nodiscard]] Announcement parseAnnouncement(std::string_view text);

/// @brief Writes an announcement as an upstream would post it.
/// @param announcement the announcement
/// @return JSON that parseAnnouncement() reads back as the same value
[[nodiscard]] std::string printAnnouncement(const Announcement& announcement);

/// @brief Writes the reply to an announcement.
/// @param reply the reply
/// @return JSON
[[nodiscard]] std::string printReply(const AnnouncementReply& reply);

/// @brief Reads the reply to an announcement.
/// @param text JSON that printReply() wrote
/// @return the reply
/// @throws Error with ErrorKind::BadRequest when the text has another form
[[nodiscard]] AnnouncementReply parseReply(std::string_view text);

}
