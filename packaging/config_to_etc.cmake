# SPDX-License-Identifier: Apache-2.0
#
# Run by CPack between installation and packaging: configuration belongs in /etc, whatever the prefix.
file(GLOB folders LIST_DIRECTORIES true "${CPACK_TEMPORARY_INSTALL_DIRECTORY}/usr/etc/*")
foreach(folder IN LISTS folders)
  get_filename_component(name "${folder}" NAME)
  file(MAKE_DIRECTORY "${CPACK_TEMPORARY_INSTALL_DIRECTORY}/etc")
  file(RENAME "${folder}" "${CPACK_TEMPORARY_INSTALL_DIRECTORY}/etc/${name}")
endforeach()
file(REMOVE_RECURSE "${CPACK_TEMPORARY_INSTALL_DIRECTORY}/usr/etc")
